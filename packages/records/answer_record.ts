/**
 * Records of the stream `answers`, which stores answers for repeated requests.
 *
 * @module
 */

import { z } from "zod";

/** Schema of an answer that is stored for repeats of the same request. */
export const KeptAnswer = z.strictObject({
  /** Digest of the caller and the idempotency key. */
  key: z.string(),
  status: z.int().min(100).max(599),
  headers: z.record(z.string(), z.string()),
  /** Body in base64. */
  body: z.string(),
});

/** Answer that is stored for repeats of the same request. */
export type KeptAnswer = z.infer<typeof KeptAnswer>;

/** Schema of a record of the stream `answers`. */
export const AnswerRecord = z.strictObject({
  answers: z.array(KeptAnswer).min(1),
});

/** Batch of stored answers. */
export type AnswerRecord = z.infer<typeof AnswerRecord>;
