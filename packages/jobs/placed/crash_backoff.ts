/**
 * Backoff of tasks under which several executors have crashed, so that such a
 * task takes few executors in a time although its job goes on.
 *
 * @module
 */

import type { Task } from "../job.ts";
import { crashesExecutors } from "./probation.ts";

/** Crashes from which a task waits before it starts again. */
const MIN_CRASHES = 3;

/** Wait after so many crashes. */
const INITIAL_WAIT_MS = 5_000;

/** Factor by which each further crash lengthens the wait. */
const WAIT_FACTOR = 4;

/** The same with evidence that the task crashes executors. */
const EVIDENT_WAIT_FACTOR = 12;

const MAX_WAIT_MS = 300_000;

/**
 * Has a task wait after a crash, and after a change of its owner for the rest
 * of that time.
 *
 * @returns the wait in milliseconds
 */
export function startBackoff(task: Task): number {
  const { crashes } = task;
  if (crashes.length < MIN_CRASHES) return 0;
  const factor = crashesExecutors(task) ? EVIDENT_WAIT_FACTOR : WAIT_FACTOR;
  const growth = factor ** (crashes.length - MIN_CRASHES);
  const waitMs = Math.min(MAX_WAIT_MS, growth * INITIAL_WAIT_MS);
  const nowMs = Date.now();
  const elapsedMs = nowMs - (crashes.at(-1)!.countedAtMs ?? nowMs);
  // The clock of an earlier owner may differ.
  const remainingMs = Math.min(waitMs, Math.max(0, waitMs - elapsedMs));
  task.backoffUntilMs = performance.now() + remainingMs;
  return remainingMs;
}
