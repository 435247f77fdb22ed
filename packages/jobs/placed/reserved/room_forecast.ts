/**
 * Forecast of the room on an executor, by the expected ends of what runs there.
 *
 * @module
 */

import {
  type ExecutorState,
  isWithin,
  occupiedBy,
} from "../../executor_state.ts";
import { addSize } from "../../_sizes.ts";
import type { Size } from "../../submission.ts";
import type { Estimates } from "./estimate_end.ts";

/** Room that becomes free at a monotonic time. */
export type FreedRoom = { atMs: number; size: Size };

/**
 * Returns the room that the runs of an executor are expected to free, in the
 * order of time. Runs whose end can't be told are left out.
 */
export function forecastFreedRoom(
  { runs }: ExecutorState,
  { estimates, nowMs }: { estimates: Estimates; nowMs: number },
): FreedRoom[] {
  const freed: FreedRoom[] = [];
  for (const run of runs) {
    const remaining = estimates.remainingOf(run);
    if (remaining === undefined) continue;
    const atMs = nowMs + remaining.longestMs;
    freed.push({ atMs, size: occupiedBy(run.task.group) });
  }
  return freed.sort((left, right) => left.atMs - right.atMs);
}

/**
 * Returns the times at which one, two and so on up to `most` tasks of a size
 * fit, as far as the expected ends make room for them.
 */
export function fitTimes(
  size: Size,
  { free, freed, nowMs, most }: {
    free: Size;
    freed: readonly FreedRoom[];
    nowMs: number;
    most: number;
  },
): number[] {
  const room = { ...free };
  const times: number[] = [];
  let next = 0;
  let atMs = nowMs;
  while (times.length < most) {
    if (isWithin(size, room)) {
      times.push(atMs);
      addSize(room, size, -1);
      continue;
    }
    const end = freed[next++];
    if (end === undefined) break;
    atMs = end.atMs;
    addSize(room, end.size);
  }
  return times;
}
