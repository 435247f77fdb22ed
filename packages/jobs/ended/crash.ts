import { z } from "zod";

/** Schema of a crash of an executor on which a run had just started. */
export const Crash = z.object({
  /** Number of the run. */
  run: z.number(),
  /** Whether the executor had confirmed the start. */
  isConfirmed: z.boolean(),
});

/** Crash of an executor on which a run of a task had just started. */
export type Crash = z.infer<typeof Crash>;

/** Crash that may be due to a run, with what speaks for it. */
export type SuspectedCrash = Crash & {
  /** Whether no other run started there about as late or later. */
  startedLast: boolean;
};
