import { z } from "zod";

/** Schema of the JSON body of an error response. */
export const Refusal = z.object({
  status: z.int(),
  /** Reason in one sentence. */
  title: z.string(),
  /** Invalid fields of the request. */
  problems: z.array(
    z.object({ field: z.string(), message: z.string() }),
  ).optional(),
});

/** JSON body of an error response. */
export type Refusal = z.infer<typeof Refusal>;
