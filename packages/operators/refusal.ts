import { z } from "zod";

/** Schema of the body of a response to a request that was not carried out. */
export const Refusal = z.object({
  status: z.int(),
  title: z.string(),
  /** Fields of the request that are wrong. */
  problems: z.array(
    z.object({ field: z.string(), message: z.string() }),
  ).optional(),
});

/** Body of a response to a request that was not carried out. */
export type Refusal = z.infer<typeof Refusal>;
