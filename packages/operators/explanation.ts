/**
 * Explanations of a daemon's decisions about an object.
 *
 * @module
 */

import { z } from "zod";

/** Schema of the kinds of objects whose decisions are explained. */
export const ExplainedKind = z.enum(["host", "wave", "job", "service"]);

/** Kind of an object whose decisions are explained. */
export type ExplainedKind = z.infer<typeof ExplainedKind>;

/** Schema of the reasons for the present state of an object. */
export const Explanation = z.object({
  kind: ExplainedKind,
  name: z.string(),
  /** State of the object, what it waits for and what would change that. */
  sentences: z.array(z.string()),
  /** Values on which the sentences are based; depend on the kind. */
  facts: z.record(z.string(), z.unknown()),
});

/** Reasons for the present state of an object. */
export type Explanation = z.infer<typeof Explanation>;
