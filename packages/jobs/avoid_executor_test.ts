import { describe, expect, test } from "@jest/globals";
import { createAccepted, createStep, JOB_ID } from "./_fixtures.ts";
import { avoidExecutor } from "./avoid_executor.ts";
import { createJob } from "./job.ts";
import { openGroup } from "./occurrences.ts";

describe("avoidExecutor", () => {
  // Guards against a lasting task whose list of executors grows for good, as
  // each replaced executor has another id.
  test("keeps the executors that a task avoided last", () => {
    const job = createJob(JOB_ID, {
      accepted: createAccepted([createStep()]),
      offset: 0,
      objectiveMs: 0,
      isInherited: false,
    });
    const times = { monotonicMs: 0, blockedUntilMs: 0 };
    const group = openGroup(job, { occurrence: 0, stepIndex: 0 }, times);
    const [task] = group.tasks;
    for (let index = 0; index < 1_000; index++) {
      avoidExecutor(task!, `e${index}`);
    }
    expect(task!.avoidedExecutors.size).toBe(32);
    expect(task!.avoidedExecutors.has("e999")).toBe(true);
  });
});
