/**
 * Configuration, executors and machines of the platform, as jobs use them.
 *
 * @module
 */

import type { QueuePolicy, Size } from "./submission.ts";

/** Queue to which callers submit jobs. */
export type Queue = QueuePolicy & {
  name: string;
  host: string;
  pathPrefix: string;
  service: string;
  /** Whether calls need no key, also where there are organisations. */
  isPublic: boolean;
};

/** Organisation whose callers submit jobs under keys of its own. */
export type Organisation = {
  name: string;
  /** Keys that its callers send; any of them is valid. */
  apiKeys: readonly string[];
  /**
   * Share of the capacity when all is in use, relative to the other
   * organisations, and number of jobs a second that it may rely on.
   */
  weight: number;
  /** Most that its tasks may use at a time over all executors; 0: no limit. */
  cap: Size;
};

/** Service whose executors run jobs. */
export type Service = {
  name: string;
  /** Whether executors refuse tasks that exceed their capacity. */
  enforcesCapacity: boolean;
  /** Whether the machines of its pool are powered off and cost nothing. */
  isStandby: boolean;
};

/** Newest configuration that operators have published. */
export type Configuration = {
  version: number;
  queues: readonly Queue[];
  services: readonly Service[];
  /**
   * Organisations whose keys calls need. Where it is undefined, calls need no
   * key, and jobs belong to no organisation.
   */
  organisations: readonly Organisation[] | undefined;
  maxHeaderBytes: number;
  maxBodyBytes: number;
  headerTimeoutMs: number;
  idleTimeoutMs: number;
};

/** Entry of an executor in the platform's list. */
export type ExecutorReport = {
  id: string;
  service: string;
  address: string;
  zone: string;
  isDraining: boolean;
  /** Milliseconds until a draining executor leaves, if it says so. */
  remainingMs: number | undefined;
  capacity: Size;
  labels: readonly string[];
  /** Unix time at which the executor's process started, in milliseconds. */
  startedAtMs: number;
};

/** Machine of a pool, on which at most one executor runs. */
export type Machine = {
  id: string;
  pool: string;
  state: "up" | "moving" | "upkeep" | "down";
  /** Id of the executor on the machine, if there is one. */
  executor: string | undefined;
};

/** Request of operators to take a set of machines through upkeep. */
export type UpkeepWave = {
  wave: number;
  machines: readonly string[];
  /** Seconds in which the wave has to end. */
  finishByS: number;
  /** Number of its machines that may be down at the same time. */
  maxDown: number;
};
