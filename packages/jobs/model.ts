/**
 * State that the owner of a partition keeps of its jobs and executors, in
 * memory. Monotonic times are those of `performance.now()`.
 *
 * @module
 */

import type { ClockReading } from "./_clock_reading.ts";
import type { Crash, SuspectedCrash } from "./ended/crash.ts";
import type { Start } from "./ended/suspicion.ts";
import type { ExecutorReport } from "./fleet.ts";
import type { AcceptedJob, Size, Step } from "./submission.ts";

/** Attempt to run a task on an executor. */
export type Run = {
  task: Task;
  /** Number of the attempt; it rises with each run of the task. */
  number: number;
  executor: ExecutorState;
  /**
   * - `starting`: the start request has no answer yet.
   * - `uncertain`: the start request timed out and may still take effect.
   * - `running`: the executor has confirmed the start.
   * - `stopping`: the executor has confirmed a stop, but not yet the end.
   */
  state: "starting" | "running" | "uncertain" | "stopping";
  /**
   * Crash of the executor's previous process, which counts for the task unless
   * the current one lists the run.
   */
  pendingCrash: SuspectedCrash | undefined;
  /** Monotonic time of the start request, or of adopting the run. */
  startedAtMs: number;
  /** Progress in percent; a lasting task is ready at 100. */
  progressPercent: number;
  /** Progress at which this owner first saw the run. */
  initialProgressPercent: number;
  /** Monotonic time of the newest report about the run. */
  reportedAtMs: number;
  /** Monotonic time of the newest report that showed progress. */
  progressedAtMs: number;
  /** Percentage of its full work rate that was last requested. */
  ratePercent: number;
  /** Clock of the executor as it confirmed the start, if it has. */
  confirmedClockMs: number | undefined;
  /**
   * Monotonic time of the start request to an executor that had answered just
   * before; undefined for other starts.
   */
  probedStartAtMs: number | undefined;
  /** Clock of the executor in its newest list with the run. */
  listedClockMs: number;
  checkpoint: string;
  /** Reason for stopping the run; empty if it is not being stopped. */
  stopReason: string;
  /** Tail response time or processor use, as last reported. */
  load: number;
};

/** Unit of work of a step. */
export type Task = {
  name: string;
  group: TaskGroup;
  index: number;
  isDone: boolean;
  /** Runs that have not ended. */
  runs: Run[];
  /** Highest run number that was ever used for the task. */
  lastRunNumber: number;
  /** Highest number of a run that has certainly ended. */
  lastEndedRunNumber: number;
  /** Number of runs that failed. */
  failureCount: number;
  /** Crashes of executors on which a run of the task had just started. */
  crashes: Crash[];
  /** Starts after a crash whose outcome is not known yet. */
  openStarts: Start[];
  /**
   * Monotonic time until which the task waits, as it is not clear whether one
   * more executor has crashed under it.
   */
  heldUntilMs: number;
  /** Monotonic time until which the task waits after repeated crashes. */
  backoffUntilMs: number;
  checkpoint: string;
  /** Monotonic time until which a run of an earlier owner may still go on. */
  blockedUntilMs: number;
  /** Duration in milliseconds of the run that completed the task. */
  durationMs: number | undefined;
  /** Times that the task was moved because its run was slow. */
  moveCount: number;
  /**
   * Executors on which the task failed or was slow. They are used only if no
   * other executor has capacity.
   */
  avoidedExecutors: Set<string>;
  /** Monotonic time since which the task has no run. */
  waitingSinceMs: number;
};

/** Tasks of one step in one occurrence of a job. */
export type TaskGroup = {
  job: Job;
  occurrence: number;
  /** Index of the step in the submission. */
  stepIndex: number;
  step: Step;
  tasks: Task[];
  doneCount: number;
  /**
   * Monotonic time at which a gang for one rack first had room on several racks
   * only; undefined if it never had.
   */
  spreadableSinceMs: number | undefined;
};

/** Job of a partition. */
export type Job = {
  id: string;
  accepted: AcceptedJob;
  /** Offset of the accepting record; jobs with equal due times run in order. */
  offset: number;
  /** Time in milliseconds in which each occurrence should complete. */
  objectiveMs: number;
  /** Whether its organisation sent it beyond its weight, in jobs a second. */
  isBeyondWeight: boolean;
  isCancelled: boolean;
  hasFailed: boolean;
  hasStarted: boolean;
  /** Monotonic time at which that was first seen by a check. */
  startSeenAtMs: number | undefined;
  /** Whether it is stored that the job has started. */
  isStartStored: boolean;
  /** Unix time at which the job ended; undefined while it has not. */
  endedAtMs: number | undefined;
  /** Whether the outcome is stored, so that callers may see it. */
  isOutcomeStored: boolean;
  /** Groups that exist, in the order of their creation. */
  groups: TaskGroup[];
  /** The same groups by the number of their occurrence and step. */
  groupsByKey: Map<number, TaskGroup>;
  /**
   * First occurrence that was not opened yet, by step. The groups of earlier
   * ones exist or are done.
   */
  nextOccurrences: number[];
  /**
   * Whether the job has a progress record. Nothing is started before, as the
   * next owner takes a job without progress for one that never ran.
   */
  hasStoredProgress: boolean;
  /**
   * Monotonic time at which its first progress record was written, also by an
   * earlier owner; undefined if it was not.
   */
  preparedAtMs: number | undefined;
  /** Whether this owner has placed a task of the job. */
  isPlaced: boolean;
  /** Whether an earlier owner may have run tasks of the job. */
  isInherited: boolean;
};

/** Jobs of a partition by id. */
export type JobsById = Map<string, Job>;

/**
 * What an owner knows of one incarnation of an executor. An executor that
 * restarts gets a new one.
 */
export type ExecutorState = {
  /** Id of the executor. */
  id: string;
  address: string;
  report: ExecutorReport;
  /** Runs that occupy capacity of the executor. */
  runs: Set<Run>;
  /**
   * Capacity that runs occupy which the executor reports and this owner has
   * not adopted, by task and run number. They are being stopped. A run of
   * unknown size may occupy the whole executor.
   */
  untrackedRuns: ReadonlyMap<string, Size | undefined>;
  /** Capacity that runs of a known size occupy. */
  occupied: Size;
  /** Newest time on its clock that an answer has shown. */
  newestClockMs: number;
  /** Executor clock minus monotonic time; undefined before its first answer. */
  clockOffsetMs: number | undefined;
  /** Monotonic time after which no lease can be valid. */
  leaseEndsMs: number;
  /** The same for the leases that this owner has granted to this process. */
  grantedUntilMs: number;
  /** The same for other leases, once it has answered; Infinity before. */
  foreignUntilMs: number;
  /** Calls without an answer that were to grant a lease. */
  openGrants: Set<OpenGrant>;
  /** Sequence number of the last run end that is stored. */
  acknowledgedSequence: number;
  /** Whether its last answer left out ends, as an answer holds only so many. */
  hasMoreEnds: boolean;
  /** Sequence number of the last run end that was received. */
  receivedSequence: number;
  /** Monotonic time of the last answer. */
  answeredAtMs: number;
  /** Both clocks of this machine at the last answer, if there was one. */
  heardAt: ClockReading | undefined;
  /** Calls without an answer since the last answer. */
  failedCalls: number;
  /** Reason of the last failed call. */
  lastFailure: string;
  /** Monotonic time of the first failed call since the last answer. */
  silentSinceMs: number | undefined;
  /** Whether the executor left the platform's list or has restarted. */
  isRemoved: boolean;
  /**
   * Whether a later process has its id, as an answer or the platform's list
   * shows. Runs that were not listed may be on that process.
   */
  hasRestarted: boolean;
  /** Whether another process has certainly taken its place. */
  hasCrashed: boolean;
  /** Whether it is drained for a move or for upkeep of its machine. */
  isReserved: boolean;
  /** Failed runs since the last one that was done. */
  consecutiveFailures: number;
  /** Ids of the jobs of these runs. */
  failedJobs: Set<string>;
  /** Monotonic time until which it gets no new tasks. */
  suspendedUntilMs: number;
};

/** Executor that has ended with all that ran there. */
export type EndedExecutor = {
  /** Monotonic time at which that was known. */
  endedAtMs: number;
  /**
   * Unix time at which its last known process started, in milliseconds;
   * undefined if no list has shown one.
   */
  startedAtMs: number | undefined;
};

/** Call without an answer that was to grant a lease. */
export type OpenGrant = {
  /** Monotonic time of the call. */
  sentAtMs: number;
};

/** Newest open grant of a process that its owner has given up. */
export type LateGrant = {
  /** Unix time at which the process started, in milliseconds. */
  startedAtMs: number;
  /** Monotonic time of the call. */
  sentAtMs: number;
};

/** Start without an answer that its owner has given up. */
export type LateStart = {
  task: string;
  run: number;
  /** Monotonic time at which its run ended for the owner. */
  givenUpAtMs: number;
};

/** Record for the next owner of an executor that may run tasks. */
export type UsedExecutor = {
  /**
   * Unix time at which the only process started that may hold leases of this or
   * earlier owners, in milliseconds; undefined if there may be several.
   */
  startedAtMs: number | undefined;
  isStored: boolean;
  /** Monotonic time at which it was written. */
  recordedAtMs: number;
};
