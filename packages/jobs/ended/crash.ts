import { z } from "zod";

/** Schema of a crash of an executor on which a run had just started. */
export const Crash = z.object({
  /** Number of the run. */
  run: z.number(),
  /**
   * Whether the executor had confirmed the start, and no other run that had
   * just started there was of a task with as many crashes.
   */
  isAttributed: z.boolean(),
});

/** Crash of an executor on which a run of a task had just started. */
export type Crash = z.infer<typeof Crash>;
