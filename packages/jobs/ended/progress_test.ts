import { describe, expect, test } from "@jest/globals";
import { createAccepted, createStep, JOB_ID } from "../_fixtures.ts";
import { createDueOccurrences, createJob, type Job } from "../job.ts";
import { applyProgress, encodeProgress, Progress } from "./progress.ts";

function jobOf(): Job {
  const job = createJob(JOB_ID, {
    accepted: createAccepted([createStep({ count: 9 })]),
    offset: 0,
    dueAtMs: 0,
    isInherited: true,
  });
  createDueOccurrences(job, { unixMs: 0, monotonicMs: 0, blockedUntilMs: 0 });
  return job;
}

describe("encodeProgress", () => {
  // Guards against ends that the next owner does not know.
  test("keeps ends and failed runs", () => {
    const job = jobOf();
    const [group] = job.groups;
    for (const index of [0, 4, 8]) group!.tasks[index]!.isDone = true;
    group!.doneCount = 3;
    const failed = new Map([[`${JOB_ID}.0.0.5`, new Set([1, 2])]]);
    const text = encodeProgress(job, failed);
    const read = jobOf();
    const readFailed = new Map<string, Set<number>>();
    applyProgress(read, {
      progress: Progress.parse(JSON.parse(text)),
      failed: readFailed,
    });
    expect(
      read.groups[0]!.tasks.filter(({ isDone }) => isDone)
        .map(({ index }) => index),
    ).toEqual([0, 4, 8]);
    expect(read.groups[0]!.doneCount).toBe(3);
    expect(readFailed).toEqual(failed);
    expect(read.groups[0]!.tasks[5]!.failureCount).toBe(2);
  });
});
