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

/** Faults that a schedule injects at a moment. */
const FAULTS: Record<string, (model: JobModel, at: number) => void> = {
  logDown: (model, at) => {
    model.log.downUntilMs = model.nowMs + 1_000 * (at % 40);
  },
  logSlow: (model, at) => {
    model.log.visibilityDelayMs = 100 * (at % 20);
  },
  answersLost: (model, at) => {
    model.lostAnswers = at % 10;
  },
  duplicates: (model, at) => {
    model.duplicates = at % 10;
  },
  workerFrozen: (model, at) => {
    workerAt(model, at).pausedUntilMs = model.nowMs + 1_000 * (at % 50);
  },
  workerCut: (model, at) => {
    workerAt(model, at).unreachableUntilMs = model.nowMs + 1_000 * (at % 50);
  },
  workerFails: (model, at) => {
    workerAt(model, at).failsAllTasks = true;
  },
  reportsWrong: (model) => {
    model.reportsHalfUsage = true;
  },
  deciderCrash: (model, at) => {
    deciderAt(model, at).crash = {
      afterActions: at % 5,
      downMs: 1_000 * (at % 30),
    };
  },
  deciderCut: (model, at) => {
    deciderAt(model, at).logUnreachableUntilMs = model.nowMs +
      1_000 * (at % 60);
  },
  cancelWave: (model, at) => {
    for (const name of model.referenceState.jobs.keys()) {
      if ((Number(name.slice(1)) + at) % 3 !== 0) continue;
      appendRecord(model, {
        type: "job.cancelled",
        job: name,
        operator: "ana",
      });
    }
  },
};

function workerAt(model: JobModel, at: number) {
  return [...model.workers.values()][at % WORKERS]!;
}

function deciderAt(model: JobModel, at: number): ModelDecider {
  return model.deciders[at % model.deciders.length]!;
}

/** Ends all faults; workers that failed all tasks work again. */
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
  /** Factor by which the declared size is off. */
  off: fc.constantFrom(0.5, 1, 3),
  runS: fc.integer({ min: 1, max: 40 }),
  urgency: fc.constantFrom("urgent", "normal", "deferrable"),
  atS: fc.integer({ min: 1, max: 60 }),
  isBad: fc.constantFrom(false, false, false, true),
});

type Drawn = typeof job extends fc.Arbitrary<infer Value> ? Value : never;

type Schedule = {
  jobs: Drawn[];
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

function submit(model: JobModel, index: number, drawn: Drawn): void {
  const { cores, off, runS, urgency, isBad } = drawn;
  const used = { cores, memory_gb: cores, accelerators: 0 };
  const declared = {
    cores: Math.min(16, cores * off),
    memory_gb: cores * off,
    accelerators: 0,
  };
  submitJob(model, {
    job: `j${index}`,
    team: `team-${index % 2 + 1}`,
    urgency,
    used,
    declared,
    runMs: 1_000 * runS,
    alwaysFails: isBad,
  });
}

/** Jobs that are neither ended nor parked when the faults are long over. */
function unfinished(model: JobModel): string[] {
  const open = () =>
    [...model.referenceState.jobs].filter(([, { state }]) =>
      state === "queued" || state === "running"
    ).map(([name, { state, reason }]) => `${name} ${state} ${reason}`);
  for (let step = 0; step < 3_000 && open().length > 0; step++) {
    stepJobs(model, { stepMs: 200 });
  }
  return open();
}

const names = Object.keys(FAULTS);
const pairs = names.flatMap((a, index) =>
  names.slice(index).map((b) => [a, b] as const)
);

describe("jobs under faults", () => {
  // Guards against two copies of a job, cancelled jobs that start, workers and
  // quotas that are exceeded, urgent work behind other work, placements on
  // suspended workers, late actions, and jobs that are forgotten.
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
        const left = unfinished(model);
        expect(model.checker.violations).toEqual([]);
        expect(left).toEqual([]);
      }),
      { seed: 20_260_401, numRuns: 4, endOnFailure: true },
    );
  });
});
