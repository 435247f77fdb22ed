/**
 * Fixtures of tests and measures: jobs, configurations and list entries.
 *
 * @module
 */

import type { Configuration, ExecutorReport, Machine, Queue } from "./fleet.ts";
import { createJob, type TaskGroup } from "./job.ts";
import { openGroup } from "./occurrences.ts";
import type { HeldConfiguration } from "./organisations/keys/held_configuration.ts";
import type { AcceptedJob, Step } from "./submission.ts";

export const PARTITION = 3;
export const JOB_ID = "00000000000000a1";
export const NEXT_JOB_ID = "00000000000000b2";

/** Creates a step of two short tasks, with some fields replaced. */
export function createStep(fields: Partial<Step> = {}): Step {
  return {
    count: 2,
    size: { cpu: 1_000, memoryMb: 500, accelerators: 0 },
    estimateMs: 800,
    dependsOn: [],
    isCheckpointing: false,
    isGang: false,
    isSameRack: false,
    isSpeculative: false,
    isLasting: false,
    isFilling: false,
    label: "",
    rack: "",
    maxPerExecutor: 0,
    image: "",
    targetMs: 0,
    maxAway: 0,
    ...fields,
  };
}

/** Creates the record of an accepted job of the queue `quotes`. */
export function createAccepted(steps: Step[]): AcceptedJob {
  return {
    queue: "quotes",
    service: "quoting",
    acceptedAtMs: Date.now(),
    submission: {
      spec: "work",
      steps,
      firstRunMs: 0,
      intervalMs: 0,
      occurrences: 0,
    },
  };
}

/** Creates the tasks of a job that runs once and has one step. */
export function createGroup(): TaskGroup {
  const job = createJob(JOB_ID, {
    accepted: createAccepted([createStep()]),
    offset: 0,
    objectiveMs: 0,
    isInherited: false,
  });
  const times = { monotonicMs: 0, blockedUntilMs: 0 };
  return openGroup(job, { occurrence: 0, stepIndex: 0 }, times);
}

/** Creates a configuration with one queue, with some fields replaced. */
export function createConfiguration(
  fields: Partial<Queue> = {},
): Configuration {
  const queue: Queue = {
    name: "quotes",
    host: "lakeshore.example",
    pathPrefix: "/quotes/",
    service: "quoting",
    priority: 0,
    maxFailures: 3,
    stretch: 1.6,
    targetLatencyMs: 600,
    needsAdvice: false,
    isPublic: false,
    ...fields,
  };
  return {
    version: 1,
    queues: [queue],
    services: [
      { name: "quoting", enforcesCapacity: true, isStandby: false },
      { name: "backoffice", enforcesCapacity: true, isStandby: true },
    ],
    organisations: undefined,
    maxHeaderBytes: 16_384,
    maxBodyBytes: 262_144,
    headerTimeoutMs: 3_000,
    idleTimeoutMs: 15_000,
  };
}

/** Creates the holder of a configuration that is always the newest one. */
export function createHeldFixture(
  current: () => Configuration,
): HeldConfiguration {
  return {
    current,
    record: () => undefined,
    ageMs: () => 0,
    createSource: () => ({
      offer: () => undefined,
      confirm: () => undefined,
    }),
  };
}

/** Creates the list entry of an executor of 16 cores. */
export function createReport(
  id: string,
  fields: Partial<ExecutorReport> = {},
): ExecutorReport {
  return {
    id,
    service: "quoting",
    address: "127.0.0.1:1",
    zone: "detroit",
    isDraining: false,
    remainingMs: undefined,
    capacity: { cpu: 16_000, memoryMb: 32_768, accelerators: 0 },
    labels: ["a", `rack-${id}`],
    startedAtMs: 1,
    ...fields,
  };
}

/** Creates a machine of the pool `quoting` that runs an executor. */
export function createMachine(executor: string): Machine {
  return { id: `m-${executor}`, pool: "quoting", state: "up", executor };
}
