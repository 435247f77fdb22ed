import { describe, expect, test } from "@jest/globals";
import { createAccepted, createReport, createStep } from "../_fixtures.ts";
import { createDueOccurrences, createJob, type Job } from "../job.ts";
import type { Step } from "../submission.ts";
import { createWorker, type Worker } from "../worker.ts";
import { placeTasks } from "./place_tasks.ts";

function jobOf(
  id: string,
  { steps, dueAtMs = 10_000 }: { steps: Step[]; dueAtMs?: number },
): Job {
  const job = createJob(id, {
    accepted: createAccepted(steps),
    offset: 0,
    dueAtMs,
    isInherited: false,
  });
  createDueOccurrences(job, { unixMs: 0, monotonicMs: 0, blockedUntilMs: 0 });
  return job;
}

function workerOf(id: string, labels: string[] = ["a", "r1"]): Worker {
  const worker = createWorker(createReport(id, { labels }));
  worker.clockOffsetMs = 0;
  return worker;
}

function place(jobs: Job[], workers: Worker[]) {
  return placeTasks(jobs, {
    workers,
    nowMs: 0,
    unixMs: 0,
    priorityOf: () => 0,
  }).map(({ task, worker }) => [task.name, worker.id]);
}

describe("placeTasks", () => {
  // Guards against starts that an executor has no room for.
  test("places no more than fits", () => {
    const step = createStep({
      count: 5,
      size: { cpu: 5_000, memoryMb: 1, accelerators: 0 },
    });
    expect(place([jobOf("a", { steps: [step] })], [workerOf("e1")]))
      .toHaveLength(3);
  });

  // Guards against a start before the steps that it depends on (ORDER).
  test("waits for the steps that a step depends on", () => {
    const steps = [createStep({ count: 1 }), createStep({ dependsOn: [0] })];
    expect(place([jobOf("a", { steps })], [workerOf("e1")])).toEqual([
      ["a.0.0.0", "e1"],
    ]);
  });

  // Guards against more tasks of a step on an executor than allowed (ROUTE).
  test("keeps tasks apart", () => {
    const steps = [createStep({ count: 3, maxPerExecutor: 1 })];
    const workers = [workerOf("e1"), workerOf("e2")];
    expect(place([jobOf("a", { steps })], workers).map(([, id]) => id).sort())
      .toEqual(["e1", "e2"]);
  });

  // Guards against a start without the label that a step asks for (ROUTE).
  test("obeys labels", () => {
    const steps = [createStep({ count: 1, label: "b" })];
    const workers = [workerOf("e1"), workerOf("e2", ["b", "r1"])];
    expect(place([jobOf("a", { steps })], workers)).toEqual([
      ["a.0.0.0", "e2"],
    ]);
  });

  // Guards against half a gang that waits for members without room (GANG).
  test("places a gang whole or not at all", () => {
    const size = { cpu: 9_000, memoryMb: 1, accelerators: 0 };
    const steps = [createStep({ count: 2, size, isGang: true })];
    expect(place([jobOf("a", { steps })], [workerOf("e1")])).toEqual([]);
    expect(place([jobOf("a", { steps })], [workerOf("e1"), workerOf("e2")]))
      .toHaveLength(2);
  });

  // Guards against room that goes to jobs which can't be on time any more.
  test("serves jobs first that can still be on time", () => {
    const size = { cpu: 16_000, memoryMb: 1, accelerators: 0 };
    const steps = [createStep({ count: 1, size, estimateMs: 1_000 })];
    const late = jobOf("late", { steps, dueAtMs: 300 });
    const good = jobOf("good", { steps, dueAtMs: 5_000 });
    expect(place([late, good], [workerOf("e1")])).toEqual([
      ["good.0.0.0", "e1"],
    ]);
  });

  // Guards against tasks that fail again where they have just failed, and
  // against tasks that no executor is left for.
  test("takes an executor where a task failed last", () => {
    const job = jobOf("a", { steps: [createStep({ count: 1 })] });
    job.groups[0]!.tasks[0]!.avoidedExecutors.add("e1");
    expect(place([job], [workerOf("e1"), workerOf("e2")])).toEqual([
      ["a.0.0.0", "e2"],
    ]);
    expect(place([job], [workerOf("e1")])).toEqual([["a.0.0.0", "e1"]]);
  });
});
