/**
 * Runs jobs under random schedules of faults and checks the invariants.
 *
 * @module
 */

import { describe, expect, test } from "@jest/globals";
import {
  appendRecord,
  createJobModel,
  createJobSet,
  type JobModel,
  type ModelDecider,
  stepJobs,
  submitJob,
} from "@lagoonloom/standins/jobs";
import fc from "fast-check";

const WORKERS = 6;

/**
 * Faults that a schedule injects; `detail` selects what is affected and for how
 * long.
 */
const FAULTS: Record<string, (model: JobModel, detail: number) => void> = {
  logDown: (model, detail) => {
    model.log.downUntilMs = model.nowMs + 1_000 * (detail % 40);
  },
  logSlow: (model, detail) => {
    model.log.visibilityDelayMs = 100 * (detail % 20);
  },
  answersLost: (model, detail) => {
    model.lostAnswers = detail % 10;
  },
  duplicates: (model, detail) => {
    model.duplicates = detail % 10;
  },
  workerFrozen: (model, detail) => {
    workerAt(model, detail).pausedUntilMs = model.nowMs + 1_000 * (detail % 50);
  },
  workerCut: (model, detail) => {
    workerAt(model, detail).unreachableUntilMs = model.nowMs +
      1_000 * (detail % 50);
  },
  workerFails: (model, detail) => {
    workerAt(model, detail).failsAllTasks = true;
  },
  reportsWrong: (model) => {
    model.reportsHalfUsage = true;
  },
  deciderCrash: (model, detail) => {
    deciderAt(model, detail).crash = {
      afterActions: detail % 5,
      downMs: 1_000 * (detail % 30),
    };
  },
  deciderCut: (model, detail) => {
    deciderAt(model, detail).logUnreachableUntilMs = model.nowMs +
      1_000 * (detail % 60);
  },
  cancelWave: (model, detail) => {
    for (const name of model.referenceState.jobs.keys()) {
      if ((Number(name.slice(1)) + detail) % 3 !== 0) continue;
      appendRecord(model, {
        type: "job.cancelled",
        job: name,
        operator: "ana",
      });
    }
  },
};

function workerAt(model: JobModel, index: number) {
  return [...model.workers.values()][index % WORKERS]!;
}

function deciderAt(model: JobModel, index: number): ModelDecider {
  return model.deciders[index % model.deciders.length]!;
}

/** Ends all faults, so that the remaining jobs can finish. */
function repair(model: JobModel): void {
  Object.assign(model, { lostAnswers: 0, duplicates: 0 });
  Object.assign(model.log, { downUntilMs: 0, visibilityDelayMs: 0 });
  for (const worker of model.workers.values()) {
    Object.assign(worker, { pausedUntilMs: 0, unreachableUntilMs: 0 });
    worker.failsAllTasks = false;
  }
  for (const decider of model.deciders) {
    decider.crash = undefined;
    decider.logUnreachableUntilMs = 0;
  }
}

const job = fc.record({
  cores: fc.integer({ min: 1, max: 8 }),
  /** Ratio of the declared size to the actual usage. */
  declaredFactor: fc.constantFrom(0.5, 1, 3),
  runS: fc.integer({ min: 1, max: 40 }),
  urgency: fc.constantFrom("urgent", "normal", "deferrable"),
  atS: fc.integer({ min: 1, max: 60 }),
  alwaysFails: fc.constantFrom(false, false, false, true),
});

type DrawnJob = typeof job extends fc.Arbitrary<infer Value> ? Value : never;

type Schedule = {
  jobs: DrawnJob[];
  faults: { name: string; atS: number; detail: number }[];
};

function run({ jobs, faults }: Schedule): JobModel {
  const model = createJobModel({
    set: createJobSet({
      dataCentres: ["detroit", "cleveland"],
      workers: WORKERS,
      cores: 16,
      memoryGb: 32,
      teams: 2,
    }),
    reportLagMs: 2_000,
    deciders: 2,
  });
  for (let step = 0; step < 600; step++) {
    stepJobs(model, { stepMs: 200 });
    if (step % 5 !== 0) continue;
    for (const [index, drawn] of jobs.entries()) {
      if (drawn.atS === step / 5) submit(model, index, drawn);
    }
    for (const { name, atS, detail } of faults) {
      if (atS === step / 5) FAULTS[name]!(model, detail);
    }
  }
  repair(model);
  return model;
}

function submit(model: JobModel, index: number, drawn: DrawnJob): void {
  const { cores, declaredFactor, runS, urgency, alwaysFails } = drawn;
  const used = { cores, memory_gb: cores, accelerators: 0 };
  const declared = {
    cores: Math.min(16, cores * declaredFactor),
    memory_gb: cores * declaredFactor,
    accelerators: 0,
  };
  submitJob(model, {
    job: `j${index}`,
    team: `team-${index % 2 + 1}`,
    urgency,
    used,
    declared,
    runMs: 1_000 * runS,
    alwaysFails,
  });
}

/**
 * Runs the model without faults for up to 10 minutes. Returns the jobs that are
 * still queued or running.
 */
function finishJobs(model: JobModel): string[] {
  const listUnfinished = () =>
    [...model.referenceState.jobs].filter(([, { state }]) =>
      state === "queued" || state === "running"
    ).map(([name, { state, reason }]) => `${name} ${state} ${reason}`);
  for (let step = 0; step < 3_000 && listUnfinished().length > 0; step++) {
    stepJobs(model, { stepMs: 200 });
  }
  return listUnfinished();
}

const names = Object.keys(FAULTS);
const pairs = names.flatMap((a, index) =>
  names.slice(index).map((b) => [a, b] as const)
);

describe("jobs under faults", () => {
  // Guards against two running copies of a job, starts of cancelled jobs,
  // workers and quotas beyond their limits, urgent jobs that wait for others,
  // placements on suspended workers, late calls, and jobs that never end.
  // Each pair of faults, including one with itself, gets random schedules.
  test.each(pairs)("keep the invariants with %s and %s", (a, b) => {
    const fault = fc.record({
      name: fc.constantFrom(a, b),
      atS: fc.integer({ min: 2, max: 90 }),
      detail: fc.integer({ min: 0, max: 1_000 }),
    });
    const schedule = fc.record({
      jobs: fc.array(job, { minLength: 5, maxLength: 30 }),
      faults: fc.array(fault, { minLength: 2, maxLength: 8 }),
    });
    fc.assert(
      fc.property(schedule, (drawn) => {
        const model = run(drawn);
        const unfinished = finishJobs(model);
        expect(model.checker.violations).toEqual([]);
        expect(unfinished).toEqual([]);
      }),
      { seed: 20_260_401, numRuns: 4, endOnFailure: true },
    );
  });
});
