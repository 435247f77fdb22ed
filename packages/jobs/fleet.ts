import type { Size } from "./submission.ts";

/** Queue that callers hand jobs in to. */
export type Queue = {
  name: string;
  host: string;
  pathPrefix: string;
  service: string;
  /** Rank of the queue; 0 comes first. */
  priority: number;
  /** Failed runs of a task after which its job has failed. */
  maxFailures: number;
  /** Multiple of a job's longest chain of work that its objective allows. */
  stretch: number;
  /** Part of the objective that does not depend on the work. */
  targetLatencyMs: number;
  /** Whether executors need a permission for each step. */
  needsAdvice: boolean;
};

/** Service whose executors run jobs. */
export type Service = {
  name: string;
  /** Whether executors refuse what exceeds their capacity. */
  enforcesCapacity: boolean;
  /** Whether the pool's machines are off and cost nothing. */
  isStandby: boolean;
};

/** Configuration in force. */
export type Configuration = {
  version: number;
  queues: readonly Queue[];
  services: readonly Service[];
  maxHeaderBytes: number;
  maxBodyBytes: number;
  headerTimeoutMs: number;
  idleTimeoutMs: number;
};

/** What an executor says of itself. */
export type ExecutorReport = {
  id: string;
  service: string;
  address: string;
  zone: string;
  isDraining: boolean;
  /** Time until a draining executor leaves, if it says so. */
  remainingMs: number | undefined;
  capacity: Size;
  labels: readonly string[];
  /** Start of this life of the executor in Unix milliseconds. */
  startedAtMs: number;
};

/** Machine that an executor runs on. */
export type Machine = {
  id: string;
  pool: string;
  state: "up" | "moving" | "upkeep" | "down";
  executor: string | undefined;
};

/** Request of operators to maintain machines. */
export type UpkeepWave = {
  wave: number;
  machines: readonly string[];
  /** Time in which the wave has to end, in seconds. */
  finishByS: number;
  /** Machines that may be down for it at the same time. */
  maxDown: number;
};
