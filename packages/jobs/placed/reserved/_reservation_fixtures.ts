/**
 * Fixtures of tests of reservations: executors, runs that occupy them and jobs
 * that wait, by a clock that starts at 0.
 *
 * @module
 */

import {
  createAccepted,
  createReport,
  createStep,
} from "../../_record_fixtures.ts";
import { createRun } from "../../create_run.ts";
import {
  addRun,
  createExecutorState,
  type ExecutorState,
} from "../../executor_state.ts";
import type { ExecutorReport } from "../../fleet.ts";
import { createJob, type Job, type Run, type TaskGroup } from "../../job.ts";
import { openDueGroups } from "../../occurrences.ts";
import type { Step } from "../../submission.ts";
import { type PlaceOptions, placeTasks } from "../place_tasks.ts";

/** Time at which {@linkcode placeAt} places, unless told otherwise. */
export const NOW_MS = 1_000;

/** Fields of a step of one task, with its processor time apart. */
export type StepFields = Partial<Step> & { cpu: number };

/** Creates an executor of 16 cores that has answered. */
export function createAnswering(
  id: string,
  fields: Partial<ExecutorReport> = {},
): ExecutorState {
  const executor = createExecutorState(createReport(id, fields));
  executor.clockOffsetMs = 0;
  return executor;
}

let jobCount = 0;

/** Creates a job that waits since the time 0. */
export function createWaiting(
  { cpu, ...fields }: StepFields,
  { objectiveMs = 10_000, service = "quoting" } = {},
): Job {
  const size = { cpu, memoryMb: 1, accelerators: 0 };
  const step = createStep({ count: 1, size, ...fields });
  const offset = jobCount++;
  const job = createJob(offset.toString(16).padStart(16, "0"), {
    accepted: { ...createAccepted([step]), acceptedAtMs: 0, service },
    offset,
    objectiveMs,
    isInherited: false,
  });
  openDueGroups(job, { unixMs: 0, monotonicMs: 0, blockedUntilMs: 0 });
  return job;
}

/** Lets a task run on an executor, by default since {@linkcode NOW_MS}. */
export function occupyBy(
  executor: ExecutorState,
  fields: StepFields,
  startedAtMs = NOW_MS,
): Run {
  const [task] = groupOf(createWaiting(fields)).tasks;
  const run = createRun(task!, executor, { number: 1 });
  run.startedAtMs = startedAtMs;
  addRun(run);
  return run;
}

/** Returns the only group of a job. */
export function groupOf({ groups }: Job): TaskGroup {
  return groups[0]!;
}

/** Places jobs and returns pairs of a job and the executor of a task of it. */
export function placeAt(
  jobs: readonly Job[],
  options: Partial<PlaceOptions> & Pick<PlaceOptions, "executors">,
): [Job, string][] {
  const { monotonicMs = NOW_MS } = options;
  return placeTasks(jobs, {
    monotonicMs,
    unixMs: monotonicMs,
    priorityOf: () => 0,
    ...options,
  }).map(({ task, executor }) => [task.group.job, executor.id]);
}
