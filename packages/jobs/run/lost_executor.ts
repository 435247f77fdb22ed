import type { Task } from "../job.ts";

/** Run that had just started on an executor as it was lost. */
export type SuspectRun = {
  task: Task;
  number: number;
  /**
   * Whether a crash is attributed to the run: the executor had confirmed its
   * start, and no other run that had just started there was of a task with as
   * many crashes.
   */
  isAttributed: boolean;
};

/** Executor whose runs were lost, while it may have crashed or be cut off. */
export type LostExecutor = {
  address: string;
  /** Unix time at which its process started, in milliseconds. */
  startedAtMs: number;
  /** Monotonic time of the loss. */
  lostAtMs: number;
  suspects: SuspectRun[];
};
