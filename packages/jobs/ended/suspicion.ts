import { z } from "zod";
import { Crash } from "./crash.ts";

/** Schema of the start of a run on one process of an executor. */
export const Start = z.object({
  /** Number of the run. */
  run: z.number(),
  /** Id of the executor. */
  executor: z.string(),
  /** Address of the executor. */
  address: z.string(),
  /** Unix time at which its process started, in milliseconds. */
  startedAtMs: z.number(),
  /** Whether there is evidence that the run has begun. */
  isConfirmed: z.boolean().optional(),
});

/** Start of a run on one process of an executor. */
export type Start = z.infer<typeof Start>;

/** Schema of what is stored of a task under which executors have crashed. */
export const Suspicion = z.object({
  /** Crashes of executors on which a run of the task had just started. */
  crashes: z.array(Crash),
  /** Starts after a crash whose outcome is not known yet. */
  openStarts: z.array(Start),
});

/** What is stored of a task under which executors have crashed. */
export type Suspicion = z.infer<typeof Suspicion>;

/** Schema of a start of a task that may have crashed its executor. */
export const TaskStart = Start.extend({ task: z.string() });

/** Start of a task that may have crashed its executor. */
export type TaskStart = z.infer<typeof TaskStart>;
