import { describe, expect, test } from "@jest/globals";
import { createAccepted, createStep, JOB_ID } from "../_fixtures.ts";
import { createDueOccurrences, createJob, type Job } from "../job.ts";
import { applyProgress, encodeProgress, Progress } from "./progress.ts";

function jobOf(): Job {
  const job = createJob(JOB_ID, {
    accepted: createAccepted([createStep({ count: 9 })]),
    offset: 0,
    objectiveMs: 0,
    isInherited: true,
  });
  createDueOccurrences(job, { unixMs: 0, monotonicMs: 0, blockedUntilMs: 0 });
  return job;
}

describe("encodeProgress", () => {
  // Guards against losing done tasks and failed runs in a change of owner.
  test("preserves done tasks and failed runs", () => {
    const job = jobOf();
    const [group] = job.groups;
    for (const index of [0, 4, 8]) group!.tasks[index]!.isDone = true;
    group!.doneCount = 3;
    const failed = new Map([[`${JOB_ID}.0.0.5`, new Set([1, 2])]]);
    const text = encodeProgress(job, failed);
    const restored = jobOf();
    const restoredFailed = new Map<string, Set<number>>();
    applyProgress(restored, {
      progress: Progress.parse(JSON.parse(text)),
      failed: restoredFailed,
    });
    expect(
      restored.groups[0]!.tasks.filter(({ isDone }) => isDone)
        .map(({ index }) => index),
    ).toEqual([0, 4, 8]);
    expect(restored.groups[0]!.doneCount).toBe(3);
    expect(restoredFailed).toEqual(failed);
    expect(restored.groups[0]!.tasks[5]!.failureCount).toBe(2);
  });
});
