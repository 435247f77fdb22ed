/**
 * Load of several organisations on one service, played against the decision
 * about placement with times that the play sets.
 *
 * @module
 */

import { jest } from "@jest/globals";
import { createAccepted, createReport, createStep } from "../../_fixtures.ts";
import { createRun } from "../../create_run.ts";
import {
  addRun,
  createExecutorState,
  type ExecutorState,
  removeRun,
} from "../../executor_state.ts";
import { createJob, type Job, type Run } from "../../job.ts";
import { openDueGroups } from "../../occurrences.ts";
import { placeTasks } from "../../placed/place_tasks.ts";
import type { Step } from "../../submission.ts";
import { createAdmissionView } from "./admission_view.ts";
import { findFullServices } from "./full_services.ts";
import { createShares } from "./shares.ts";
import { createWeightBuckets } from "./weight_buckets.ts";

/** Organisation of a load. */
export type LoadOrganisation = {
  name: string;
  weight: number;
  /** Jobs a second, by the time since the start in milliseconds. */
  rateAt(atMs: number): number;
  /** Step of its jobs; four tasks of one core and one second by default. */
  step?: Partial<Step>;
};

/** Options of {@linkcode playLoad}. */
export type LoadOptions = {
  organisations: readonly LoadOrganisation[];
  /** Executors of 16 cores each. */
  executorCount: number;
  durationMs: number;
  /** Whether the decision knows the organisations. */
  hasShares?: boolean;
  /** Members that take jobs and may refuse them; by default none may. */
  memberCount?: number;
};

/** What an organisation has got. */
export type LoadResult = {
  /** Jobs that were accepted. */
  jobs: number;
  /** Jobs that were refused. */
  refused: number;
  /** Accepted jobs beyond the weight. */
  beyondWeight: number;
  /** Jobs that completed within their objective. */
  onTime: number;
  /** Jobs of which at least one task has started. */
  started: number;
  /** Processor time of its tasks in core seconds. */
  coreSeconds: number;
};

const ROUND_MS = 50;
const OBJECTIVE_MS = 2_200;

/** Interval in which a member hears from the owner. */
const HEARING_MS = 500;

/** Partition of the jobs, and service of their queue. */
const PLACE = { partition: 0, service: "quoting" };

/**
 * Plays a load, for which fake timers have to be in use, and returns
 * what each organisation has got.
 */
export function playLoad(options: LoadOptions): Map<string, LoadResult> {
  const { organisations, durationMs, hasShares = true } = options;
  const configuration = {
    organisations: organisations.map(({ name, weight }) => ({
      name,
      weight,
      apiKeys: [],
      cap: { cpu: 0, memoryMb: 0, accelerators: 0 },
    })),
  };
  const shares = createShares(configuration)!;
  const members = Array.from(
    { length: options.memberCount ?? 0 },
    createAdmissionView,
  );
  const buckets = createWeightBuckets();
  const executors = createExecutors(options.executorCount);
  const results = new Map(organisations.map(({ name }) => [name, {
    jobs: 0,
    refused: 0,
    beyondWeight: 0,
    onTime: 0,
    started: 0,
    coreSeconds: 0,
  }]));
  const credits = organisations.map((_, index) => index / organisations.length);
  const jobs = new Set<Job>();
  let offset = 0;
  let arrivals = 0;
  for (let nowMs = 0; nowMs < durationMs; nowMs += ROUND_MS) {
    organisations.forEach(({ name, weight, rateAt, step }, index) => {
      credits[index]! += rateAt(nowMs) * ROUND_MS / 1_000;
      for (; credits[index]! >= 1; credits[index]!--) {
        const times = { weight, acceptedAtMs: nowMs, nowMs };
        const member = members[arrivals++ % members.length];
        if (member?.isBeyondWeight({ ...PLACE, organisation: name })) {
          results.get(name)!.refused++;
          continue;
        }
        const isWithin = buckets.take(name, times);
        if (!isWithin) results.get(name)!.beyondWeight++;
        jobs.add(createLoadJob(`job-${offset}`, {
          organisation: name,
          offset: offset++,
          nowMs,
          isBeyondWeight: hasShares && !isWithin,
          step: step ?? {},
        }));
        results.get(name)!.jobs++;
      }
    });
    jest.advanceTimersByTime(ROUND_MS);
    endRuns(executors, nowMs);
    members.forEach((member, index) => {
      const heardAtMs = Math.floor(index * HEARING_MS / members.length);
      if (Math.floor((nowMs - heardAtMs) / ROUND_MS) % 10 !== 0) return;
      const load = { jobs, executors, monotonicMs: nowMs, unixMs: nowMs };
      const full = findFullServices([PLACE.service], {
        ...load,
        ...configuration,
        weightBuckets: buckets,
      });
      member.note(PLACE.partition, full);
    });
    for (const job of jobs) {
      const { tasks, doneCount } = job.groups[0]!;
      if (doneCount < tasks.length) continue;
      jobs.delete(job);
      const { organisation, acceptedAtMs } = job.accepted;
      if (nowMs - acceptedAtMs > OBJECTIVE_MS) continue;
      results.get(organisation!)!.onTime++;
    }
    const placements = placeTasks(jobs, {
      executors,
      monotonicMs: nowMs,
      unixMs: nowMs,
      priorityOf: () => 0,
      shares: hasShares ? shares : undefined,
    });
    for (const { task, executor } of placements) {
      const { job, step } = task.group;
      const result = results.get(job.accepted.organisation!)!;
      if (!job.isPlaced) result.started++;
      job.isPlaced = true;
      result.coreSeconds += step.size.cpu * step.estimateMs / 1e6;
      const run = createRun(task, executor, { number: 1 });
      addRun({ ...run, startedAtMs: nowMs });
    }
  }
  return results;
}

function createExecutors(count: number): ExecutorState[] {
  return Array.from({ length: count }, (_, index) => {
    const executor = createExecutorState(createReport(`e${index}`));
    executor.clockOffsetMs = 0;
    return executor;
  });
}

function createLoadJob(
  id: string,
  options: {
    organisation: string;
    offset: number;
    nowMs: number;
    isBeyondWeight: boolean;
    step: Partial<Step>;
  },
): Job {
  const { nowMs, organisation, step } = options;
  const steps = [createStep({ count: 4, estimateMs: 1_000, ...step })];
  const job = createJob(id, {
    accepted: { ...createAccepted(steps), organisation, acceptedAtMs: nowMs },
    offset: options.offset,
    objectiveMs: OBJECTIVE_MS,
    isInherited: false,
    isBeyondWeight: options.isBeyondWeight,
  });
  openDueGroups(job, { unixMs: nowMs, monotonicMs: nowMs, blockedUntilMs: 0 });
  return job;
}

function endRuns(executors: readonly ExecutorState[], nowMs: number): void {
  const isOver = ({ startedAtMs, task }: Run) =>
    nowMs - startedAtMs >= task.group.step.estimateMs;
  for (const executor of executors) {
    for (const run of [...executor.runs].filter(isOver)) {
      removeRun(run);
      run.task.isDone = true;
      run.task.group.doneCount++;
    }
  }
}
