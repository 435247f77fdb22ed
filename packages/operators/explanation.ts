import { z } from "zod";

/** Schema of the kinds of objects whose decisions are explained. */
export const ExplainedKind = z.enum(["host", "wave", "job", "service"]);

/** Kind of an object whose decisions are explained. */
export type ExplainedKind = z.infer<typeof ExplainedKind>;

/** Schema of the reasons why an object is as it is. */
export const Explanation = z.object({
  kind: ExplainedKind,
  name: z.string(),
  /** Where the object is, what it waits for and what would change that. */
  sentences: z.array(z.string()),
  /** Values behind the sentences; their fields depend on the kind. */
  facts: z.record(z.string(), z.unknown()),
});

/** Reasons why an object is as it is. */
export type Explanation = z.infer<typeof Explanation>;
