import { z } from "zod";
import { Name } from "./name.ts";
import { OBJECT_KINDS, ObjectSet } from "./object_set.ts";

/** Schema of the difference between two sets. */
export const SetChange = z.strictObject({
  /** Objects that are new or different, whole. */
  put: ObjectSet.partial(),
  /** Objects that are gone. */
  removed: z.array(
    z.strictObject({ kind: z.enum(OBJECT_KINDS), name: Name }),
  ),
});

/** Difference that turns one set into another. */
export type SetChange = z.infer<typeof SetChange>;
