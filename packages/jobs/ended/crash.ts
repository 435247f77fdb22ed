import { z } from "zod";

/** Schema of a crash of an executor on which a run had just started. */
export const Crash = z.object({
  /** Number of the run. */
  run: z.number(),
  /** Whether there is evidence that the run had begun. */
  isConfirmed: z.boolean(),
  /** Unix time at which the crash was counted, in milliseconds. */
  countedAtMs: z.number().optional(),
});

/** Crash of an executor on which a run of a task had just started. */
export type Crash = z.infer<typeof Crash>;

/** Crash that may be due to a run, with what speaks for it. */
export type SuspectedCrash = Omit<Crash, "countedAtMs"> & {
  /** Whether no other run started there about as late or later. */
  startedLast: boolean;
};
