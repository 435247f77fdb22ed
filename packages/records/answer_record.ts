import { z } from "zod";

/** Schema of an answer kept for repeats of the same request. */
export const KeptAnswer = z.strictObject({
  key: z.string(),
  status: z.int().min(100).max(599),
  headers: z.record(z.string(), z.string()),
  /** Body in base64. */
  body: z.string(),
});

/** Answer kept for repeats of the same request. */
export type KeptAnswer = z.infer<typeof KeptAnswer>;

/** Schema of a record of the stream `answers`. */
export const AnswerRecord = z.strictObject({
  answers: z.array(KeptAnswer).min(1),
});

/** Batch of kept answers. */
export type AnswerRecord = z.infer<typeof AnswerRecord>;
