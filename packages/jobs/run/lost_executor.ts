import type { SuspectedCrash } from "../ended/crash.ts";
import type { Task } from "../job.ts";

/** Run that had just started on an executor as it was lost. */
export type SuspectRun = { task: Task; crash: SuspectedCrash };

/** Executor whose runs were lost, while it may have crashed or be cut off. */
export type LostExecutor = {
  address: string;
  /** Unix time at which its process started, in milliseconds. */
  startedAtMs: number;
  /** Monotonic time of the loss. */
  lostAtMs: number;
  suspects: SuspectRun[];
};
