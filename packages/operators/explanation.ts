import { z } from "zod";

/** Schema of the kinds of objects whose decisions are explained. */
export const ExplainedKind = z.enum(["host", "wave", "job", "service"]);

/** Kind of an object whose decisions are explained. */
export type ExplainedKind = z.infer<typeof ExplainedKind>;

/** Schema of the latest decisions about an object. */
export const Explanation = z.object({
  kind: ExplainedKind,
  name: z.string(),
  /** Newest first. */
  decisions: z.array(z.object({
    /** Log time in milliseconds. */
    timeMs: z.number().optional(),
    decision: z.string(),
    reason: z.string(),
    alternatives: z.array(z.string()).default([]),
  })),
});

/** Latest decisions about an object, with their reasons. */
export type Explanation = z.infer<typeof Explanation>;
