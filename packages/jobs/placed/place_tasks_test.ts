import { describe, expect, test } from "@jest/globals";
import { createAccepted, createReport, createStep } from "../_fixtures.ts";
import { createJob, type Job } from "../job.ts";
import { openDueGroups } from "../occurrences.ts";
import type { Step } from "../submission.ts";
import { createExecutorState, type ExecutorState } from "../executor_state.ts";
import { placeTasks } from "./place_tasks.ts";

function jobOf(
  id: string,
  { steps, dueAtMs = 10_000, acceptedAtMs = 0 }: {
    steps: Step[];
    dueAtMs?: number;
    acceptedAtMs?: number;
  },
): Job {
  const job = createJob(id, {
    accepted: { ...createAccepted(steps), acceptedAtMs },
    offset: 0,
    objectiveMs: dueAtMs - acceptedAtMs,
    isInherited: false,
  });
  openDueGroups(job, { unixMs: 0, monotonicMs: 0, blockedUntilMs: 0 });
  return job;
}

function executorOf(id: string, labels: string[] = ["a", "r1"]): ExecutorState {
  const executor = createExecutorState(createReport(id, { labels }));
  executor.clockOffsetMs = 0;
  return executor;
}

function place(jobs: Job[], executors: ExecutorState[]) {
  return placeTasks(jobs, {
    executors,
    monotonicMs: 0,
    unixMs: 0,
    priorityOf: () => 0,
  }).map(({ task, executor }) => [task.name, executor.id]);
}

describe("placeTasks", () => {
  // Guards against a later occurrence that counts as late from its start, as
  // the first one was due long before.
  test("places an occurrence by its own due time", () => {
    const large = { cpu: 9_000, memoryMb: 1, accelerators: 0 };
    const steps = [createStep({ count: 1, size: large, estimateMs: 500 })];
    const repeated = jobOf("repeated", { steps, dueAtMs: 1_000 });
    repeated.accepted.submission.occurrences = 6;
    repeated.accepted.submission.intervalMs = 2_000;
    openDueGroups(repeated, {
      unixMs: 8_000,
      monotonicMs: 0,
      blockedUntilMs: 0,
    });
    for (const group of repeated.groups.slice(0, 4)) {
      group.doneCount = 1;
      group.tasks[0]!.isDone = true;
    }
    const other = jobOf("other", { steps, dueAtMs: 9_500 });
    const placements = placeTasks([other, repeated], {
      executors: [executorOf("e1")],
      monotonicMs: 0,
      unixMs: 8_000,
      priorityOf: () => 0,
    });
    expect(placements.map(({ task }) => task.name)).toEqual(["repeated.4.0.0"]);
  });

  // Guards against placing tasks on an executor without capacity for them.
  test("places no more tasks than an executor has capacity for", () => {
    const step = createStep({
      count: 5,
      size: { cpu: 5_000, memoryMb: 1, accelerators: 0 },
    });
    expect(place([jobOf("a", { steps: [step] })], [executorOf("e1")]))
      .toHaveLength(3);
  });

  // Guards against starting a step before the steps that it depends on are done
  // (ORDER).
  test("places no step before its dependencies are done", () => {
    const steps = [createStep({ count: 1 }), createStep({ dependsOn: [0] })];
    expect(place([jobOf("a", { steps })], [executorOf("e1")])).toEqual([
      ["a.0.0.0", "e1"],
    ]);
  });

  // Guards against more tasks of a step on an executor than the step allows
  // (ROUTE).
  test("limits the tasks of a step on one executor", () => {
    const steps = [createStep({ count: 3, maxPerExecutor: 1 })];
    const executors = [executorOf("e1"), executorOf("e2")];
    expect(place([jobOf("a", { steps })], executors).map(([, id]) => id).sort())
      .toEqual(["e1", "e2"]);
  });

  // Guards against starting a task on an executor without the label that its
  // step requires (ROUTE).
  test("places tasks only on executors with the required label", () => {
    const steps = [createStep({ count: 1, label: "b" })];
    const executors = [executorOf("e1"), executorOf("e2", ["b", "r1"])];
    expect(place([jobOf("a", { steps })], executors)).toEqual([
      ["a.0.0.0", "e2"],
    ]);
  });

  // Guards against starting a task on an executor of another service, which
  // shares the partition (ROUTE).
  test("places tasks only on executors of the job's service", () => {
    const job = jobOf("a", { steps: [createStep({ count: 3 })] });
    job.accepted.service = "orders";
    const foreign = executorOf("e1");
    const own = executorOf("e2");
    own.report = { ...own.report, service: "orders" };
    expect(place([job], [foreign])).toEqual([]);
    expect(place([job], [foreign, own]).map(([, id]) => id))
      .toEqual(["e2", "e2", "e2"]);
  });

  // Guards against starting part of a gang while there is no capacity for the
  // rest (GANG).
  test("places all tasks of a gang or none", () => {
    const size = { cpu: 9_000, memoryMb: 1, accelerators: 0 };
    const steps = [createStep({ count: 2, size, isGang: true })];
    expect(place([jobOf("a", { steps })], [executorOf("e1")])).toEqual([]);
    expect(place([jobOf("a", { steps })], [executorOf("e1"), executorOf("e2")]))
      .toHaveLength(2);
  });

  // Guards against starting a gang without a task that is held, so that the
  // others end alone (GANG).
  test("places no task of a gang while one of them is held", () => {
    const job = jobOf("a", { steps: [createStep({ count: 3, isGang: true })] });
    job.groups[0]!.tasks[0]!.heldUntilMs = 1;
    expect(place([job], [executorOf("e1"), executorOf("e2")])).toEqual([]);
  });

  // Guards against the same while one may still run for an earlier owner.
  test("places no task of a gang while one of them is blocked", () => {
    const job = jobOf("a", { steps: [createStep({ count: 3, isGang: true })] });
    job.groups[0]!.tasks[0]!.blockedUntilMs = 1;
    expect(place([job], [executorOf("e1"), executorOf("e2")])).toEqual([]);
  });

  // Guards against spending capacity on late jobs while others could still be
  // on time.
  test("places jobs that can be on time before late ones", () => {
    const size = { cpu: 16_000, memoryMb: 1, accelerators: 0 };
    const steps = [createStep({ count: 1, size, estimateMs: 1_000 })];
    const late = jobOf("late", { steps, dueAtMs: 300 });
    const onTime = jobOf("onTime", { steps, dueAtMs: 5_000 });
    expect(place([late, onTime], [executorOf("e1")])).toEqual([
      ["onTime.0.0.0", "e1"],
    ]);
  });

  // Guards against work for callers who have given up while others still wait:
  // plays three times the load that an executor carries for ten seconds, and
  // the time after it.
  test("serves callers who still wait first after an overload", () => {
    const size = { cpu: 16_000, memoryMb: 1, accelerators: 0 };
    const steps = [createStep({ count: 1, size, estimateMs: 1_000 })];
    const jobs: Job[] = [];
    const latenciesMs: number[] = [];
    for (let unixMs = 0; unixMs < 30_000; unixMs += 1_000) {
      for (let index = 0; index < 3 && unixMs < 10_000; index++) {
        const id = `${unixMs}-${index}`;
        const times = { acceptedAtMs: unixMs, dueAtMs: unixMs + 2_000 };
        jobs.push(jobOf(id, { steps, ...times }));
      }
      const [placement] = placeTasks(jobs, {
        executors: [executorOf("e1")],
        monotonicMs: 0,
        unixMs,
        priorityOf: () => 0,
      });
      if (placement === undefined) continue;
      const { job } = placement.task.group;
      job.endedAtMs = unixMs + 1_000;
      latenciesMs.push(job.endedAtMs - job.accepted.acceptedAtMs);
    }
    expect(latenciesMs).toHaveLength(30);
    const onTime = latenciesMs.filter((ms) => ms <= 2_000);
    expect(onTime.length).toBeGreaterThanOrEqual(10);
    // Callers wait for three times the objective, here for six seconds.
    const inPatience = latenciesMs.filter((ms) => ms <= 6_000);
    expect(inPatience.length).toBeGreaterThanOrEqual(15);
  });

  // Guards against an outage after which every waiting job is served a little
  // and none in time: plays 20 jobs of different sizes that waited for it.
  test("serves as many callers as possible after an outage", () => {
    const size = { cpu: 16_000, memoryMb: 1, accelerators: 0 };
    const jobs = Array.from({ length: 20 }, (_, index) => {
      const count = index % 4 === 0 ? 6 : 1;
      const steps = [createStep({ count, size, estimateMs: 1_000 })];
      return jobOf(`${index}`, { steps, dueAtMs: 2_000 + index });
    });
    let servedCount = 0;
    // The outage ended after the due times; callers wait for 6 s.
    for (let unixMs = 2_100; unixMs < 6_000; unixMs += 250) {
      const [placement] = placeTasks(jobs, {
        executors: [executorOf("e1")],
        monotonicMs: 0,
        unixMs,
        priorityOf: () => 0,
      });
      const { task } = placement!;
      task.isDone = true;
      task.group.doneCount++;
      if (task.group.doneCount < task.group.tasks.length) continue;
      task.group.job.endedAtMs = unixMs;
      servedCount++;
    }
    expect(servedCount).toBe(15);
  });

  // Guards against an owner whose processor is busy with waiting jobs in a
  // burst, as each round looks at every executor for every job.
  test("looks at the executors once while nothing fits", () => {
    let looks = 0;
    const executors = Array.from({ length: 20 }, (_, index) => {
      const executor = executorOf(`e${index}`);
      const capacity = { cpu: 900, memoryMb: 1_000, accelerators: 0 };
      Object.defineProperty(executor.report, "capacity", {
        get() {
          looks++;
          return capacity;
        },
      });
      return executor;
    });
    const jobs = Array.from(
      { length: 200 },
      (_, index) => jobOf(`${index}`, { steps: [createStep()] }),
    );
    expect(place(jobs, executors)).toEqual([]);
    expect(looks).toBeLessThanOrEqual(2 * executors.length);
  });

  // Guards against the same while another service has capacity.
  test("looks at no executor of another service", () => {
    let looks = 0;
    const foreign = executorOf("e1");
    const { capacity } = foreign.report;
    Object.defineProperty(foreign.report, "capacity", {
      get() {
        looks++;
        return capacity;
      },
    });
    const jobs = Array.from({ length: 200 }, (_, index) => {
      const job = jobOf(`${index}`, { steps: [createStep()] });
      job.accepted.service = "orders";
      return job;
    });
    expect(place(jobs, [foreign])).toEqual([]);
    expect(looks).toBe(0);
  });

  // Guards against retrying a task on the executor where it failed, and against
  // never running it when there is no other executor.
  test("places a task where it failed only as a last resort", () => {
    const job = jobOf("a", { steps: [createStep({ count: 1 })] });
    job.groups[0]!.tasks[0]!.avoidedExecutors.add("e1");
    expect(place([job], [executorOf("e1"), executorOf("e2")])).toEqual([
      ["a.0.0.0", "e2"],
    ]);
    expect(place([job], [executorOf("e1")])).toEqual([["a.0.0.0", "e1"]]);
  });
});
