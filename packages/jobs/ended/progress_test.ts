import { describe, expect, test } from "@jest/globals";
import { createAccepted, createStep, JOB_ID } from "../_fixtures.ts";
import { createJob, type Job } from "../job.ts";
import { closeDoneGroups, openDueGroups } from "../occurrences.ts";
import { applyProgress, encodeProgress, Progress } from "./progress.ts";

const TIMES = { unixMs: 0, monotonicMs: 0, blockedUntilMs: 0 };

/** Creates a job without tasks that runs once, or many times at once. */
function jobOf(occurrences = 0): Job {
  const accepted = createAccepted([createStep({ count: 9 })]);
  accepted.submission.occurrences = occurrences;
  return createJob(JOB_ID, {
    accepted,
    offset: 0,
    objectiveMs: 0,
    isInherited: true,
  });
}

/** Completes an occurrence and drops it, as its owner does. */
function complete(job: Job, occurrence: number): void {
  const group = job.groups.find((group) => group.occurrence === occurrence)!;
  for (const task of group.tasks) task.isDone = true;
  group.doneCount = group.tasks.length;
  closeDoneGroups(job);
}

/** Restores a job from stored progress and opens what is due. */
function restore(text: string, occurrences: number): Job {
  const job = jobOf(occurrences);
  applyProgress(job, {
    progress: Progress.parse(JSON.parse(text)),
    failed: new Map(),
    times: TIMES,
  });
  openDueGroups(job, TIMES);
  closeDoneGroups(job);
  return job;
}

function existingOccurrences(job: Job): number[] {
  return job.groups.map(({ occurrence }) => occurrence);
}

describe("encodeProgress", () => {
  // Guards against losing done tasks and failed runs in a change of owner.
  test("preserves done tasks and failed runs", () => {
    const job = jobOf();
    openDueGroups(job, TIMES);
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
      times: TIMES,
    });
    expect(
      restored.groups[0]!.tasks.filter(({ isDone }) => isDone)
        .map(({ index }) => index),
    ).toEqual([0, 4, 8]);
    expect(restored.groups[0]!.doneCount).toBe(3);
    expect(restoredFailed).toEqual(failed);
    expect(restored.groups[0]!.tasks[5]!.failureCount).toBe(2);
  });

  // Guards against a record that grows with each time that a job has run, until
  // the store refuses it and takes nothing of its partition any more (LOST).
  test("stores as much after many occurrences as after a few", () => {
    const job = jobOf(50_000);
    const lengthAfter = (occurrences: number) => {
      while (job.nextOccurrences[0]! < occurrences) {
        openDueGroups(job, TIMES);
        for (const occurrence of existingOccurrences(job)) {
          complete(job, occurrence);
        }
      }
      return encodeProgress(job, new Map()).length;
    };
    const fewLength = lengthAfter(10_000);
    expect(lengthAfter(49_000)).toBe(fewLength);
  });

  // Guards against occurrences that run again under the next owner (TWICE), or
  // never, as it takes them for done (LOST).
  test("restores which occurrences are done, open and yet to come", () => {
    const job = jobOf(8);
    openDueGroups(job, TIMES);
    for (const occurrence of [0, 1, 3, 5]) complete(job, occurrence);
    const open = job.groups.find(({ occurrence }) => occurrence === 2)!;
    open.tasks[4]!.isDone = true;
    open.doneCount = 1;
    const restored = restore(encodeProgress(job, new Map()), 8);
    expect(existingOccurrences(restored).sort()).toEqual([2, 4, 6, 7]);
    const group = restored.groups.find(({ occurrence }) => occurrence === 2)!;
    expect(group.doneCount).toBe(1);
    expect(group.tasks[4]!.isDone).toBe(true);
    expect(restored.hasStarted).toBe(true);
  });

  // Guards against work that is done again after an update, as records of the
  // version before name each occurrence that is done (TWICE).
  test("reads records that name all done occurrences", () => {
    const text = JSON.stringify({
      done: { "0.0": "ff1", "1.0": "ff1", "3.0": "ff1", "4.0": "010" },
      failed: { [`${JOB_ID}.2.0.5`]: [7] },
    });
    const restored = restore(text, 6);
    expect(existingOccurrences(restored).sort()).toEqual([2, 4, 5]);
    expect(restored.hasStarted).toBe(true);
  });

  // Guards against a stored outcome that grows with the tasks of its job.
  test("stores only the outcome of a job that has ended", () => {
    const job = jobOf();
    openDueGroups(job, TIMES);
    complete(job, 0);
    job.endedAtMs = 5;
    expect(JSON.parse(encodeProgress(job, new Map()))).toEqual({
      done: {},
      failed: {},
      endedAtMs: 5,
      outcome: "completed",
    });
  });
});
