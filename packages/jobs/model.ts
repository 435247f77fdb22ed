import type { ExecutorReport } from "./fleet.ts";
import type { AcceptedJob, Size, Step } from "./submission.ts";

/** Attempt to run a task on an executor. */
export type Run = {
  task: Task;
  /** Number of the start; rises for each task. */
  number: number;
  worker: Worker;
  /**
   * `starting` until the executor answers, `uncertain` when no answer came and
   * the executor may still begin it, `stopping` once a stop is on its way.
   */
  state: "starting" | "running" | "uncertain" | "stopping";
  /** Steady time of the start order in milliseconds. */
  startedAtMs: number;
  /** Progress in percent; a lasting task is at work at 100. */
  progressPercent: number;
  /** Progress at which the run was first seen. */
  initialProgressPercent: number;
  /** Steady time of the last report about the run. */
  reportedAtMs: number;
  /** Steady time of the last progress. */
  progressedAtMs: number;
  /** Share of its work rate that was last asked for, in percent. */
  ratePercent: number;
  checkpoint: string;
  /** Why it is being stopped; empty if it is not. */
  stopReason: string;
  /** Tail of response times or processor use, as last reported. */
  load: number;
};

/** One of the work items of a step. */
export type Task = {
  name: string;
  group: TaskGroup;
  index: number;
  isDone: boolean;
  runs: Run[];
  /** Highest run number that was ever used for the task. */
  lastRunNumber: number;
  /** Highest number of a run that is known to have ended. */
  lastEndedRunNumber: number;
  /** Runs that ended as failed. */
  failureCount: number;
  checkpoint: string;
  /** Steady time before which an unknown earlier run may still go on. */
  blockedUntilMs: number;
  /** Time that the run took which was done, in milliseconds. */
  durationMs: number | undefined;
  /** Times that the task was moved for being slow. */
  moveCount: number;
  /** Executors on which the task failed, which are its last choice. */
  avoidedExecutors: Set<string>;
  /** Steady time since which the task is not at work. */
  waitingSinceMs: number;
};

/** Tasks of one step of one occurrence. */
export type TaskGroup = {
  job: Job;
  occurrence: number;
  stepIndex: number;
  step: Step;
  tasks: Task[];
  doneCount: number;
};

/** Job of the partition. */
export type Job = {
  id: string;
  accepted: AcceptedJob;
  /** Offset of the accepting record; jobs are served in this order. */
  offset: number;
  /** Unix time until which the job is on time. */
  dueAtMs: number;
  isCancelled: boolean;
  hasFailed: boolean;
  hasStarted: boolean;
  /** Unix time at which the job ended, or undefined. */
  endedAtMs: number | undefined;
  /** Whether the outcome is stored, so that it may be shown. */
  isOutcomeStored: boolean;
  groups: TaskGroup[];
  /** Occurrences whose groups exist. */
  createdOccurrences: number;
  /** Whether it is stored that the job has an owner, so that it may start. */
  hasStoredProgress: boolean;
  /** Whether earlier owners may have run parts of the job. */
  isInherited: boolean;
};

/** Jobs by id. */
export type JobsById = Map<string, Job>;

/** One life of an executor as its owner knows it. */
export type Worker = {
  id: string;
  address: string;
  report: ExecutorReport;
  /** Runs that take room there. */
  runs: Set<Run>;
  free: Size;
  /** Clock of the executor less the steady clock, once it has answered. */
  clockOffsetMs: number | undefined;
  /** Steady time after which the executor holds no lease that we gave. */
  leaseEndsMs: number;
  /** Last end that is safely stored. */
  acknowledgedSequence: number;
  /** Last end that was read. */
  receivedSequence: number;
  /** Steady time of the last answer. */
  answeredAtMs: number;
  /** Calls in a row without an answer. */
  failedCalls: number;
  /** Reason of the last of these. */
  lastFailure: string;
  /** Whether the executor left the list or answered as another life. */
  isRemoved: boolean;
  /** Whether it is to be emptied for a move or for upkeep. */
  isReserved: boolean;
  /** Ends as failed since the last one that was done. */
  consecutiveFailures: number;
  /** Different jobs among these. */
  failedJobs: Set<string>;
  /** Steady time until which it gets no work. */
  suspendedUntilMs: number;
};
