import { z } from "zod";
import { Name } from "./name.ts";
import { OBJECT_KINDS, ObjectSet } from "./object_set.ts";

/** Schema of a change of an object set. */
export const SetChange = z.strictObject({
  /** New and changed objects, with all their fields. */
  put: ObjectSet.partial(),
  /** Objects to remove. */
  removed: z.array(
    z.strictObject({ kind: z.enum(OBJECT_KINDS), name: Name }),
  ),
});

/** Change that turns one object set into another. */
export type SetChange = z.infer<typeof SetChange>;
