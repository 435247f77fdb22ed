/**
 * Configuration, executors and machines of the platform, as jobs use them.
 *
 * @module
 */

import type { Size } from "./submission.ts";

/** Queue to which callers submit jobs. */
export type Queue = {
  name: string;
  host: string;
  pathPrefix: string;
  service: string;
  /** Lower numbers are served first; 0 is the highest priority. */
  priority: number;
  /** Number of failed runs of one task that makes its job fail. */
  maxFailures: number;
  /**
   * A job should complete within `stretch` times the length of its critical
   * path, plus `targetLatencyMs`.
   */
  stretch: number;
  targetLatencyMs: number;
  /** Whether executors need a ticket of the advice service for each step. */
  needsAdvice: boolean;
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
