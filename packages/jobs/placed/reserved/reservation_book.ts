/**
 * Record of which groups were promised room, across rounds of placement. It
 * gives up promises that estimates do not keep, so that room is not held empty.
 *
 * @module
 */

import type { TaskGroup } from "../../job.ts";
import {
  createDurationRatios,
  type DurationRatios,
} from "./duration_ratios.ts";

/** Time in milliseconds after which an unkept promise counts as missed. */
const GRACE_MS = 500;

/** Time in milliseconds without reservations for a group after a miss. */
const HOLD_OFF_MS = 1_000;

/** Longest time without reservations for a group after several misses. */
const MAX_HOLD_OFF_MS = 8_000;

/** Delay of a promise from which it is reported as moved. */
const MIN_MOVE_MS = 250;

/** Time without renewal after which a promise is void. */
const VOID_AFTER_MS = 500;

/** Interval of the rounds that look for room on all executors. */
const SEARCH_INTERVAL_MS = 250;

/** Time for which a group that can't be reserved room is not tried again. */
const PAUSE_MS = 500;

/** What happened to the reservation of a group. */
export type ReservationEvent =
  | { type: "made"; group: TaskGroup; aheadMs: number; tasks: number }
  | { type: "moved"; group: TaskGroup; laterMs: number }
  | { type: "kept"; group: TaskGroup; waitedMs: number }
  | { type: "missed"; group: TaskGroup; waitedMs: number };

/** Promises to groups, across rounds of placement. */
export type ReservationBook = {
  /** Durations of the ended runs, by which estimates are corrected. */
  ratios: DurationRatios;
  /**
   * Begins a round, and returns whether it may look for room on all executors.
   * Other rounds only renew promises, so that many rounds cost little.
   */
  startRound(nowMs: number): "search" | "renew" | "skip";
  /** Returns whether room may be reserved for a group. */
  mayReserve(group: TaskGroup, nowMs: number): boolean;
  /** Returns the executors on which a group is promised room. */
  executorsOf(group: TaskGroup): ReadonlySet<string> | undefined;
  /**
   * Notes that some of the waiting tasks of a group are promised room until a
   * time.
   */
  promise(group: TaskGroup, promised: PromisedRoom): void;
  /** Notes that no room can be reserved for a group now, so that others try. */
  pause(group: TaskGroup, nowMs: number): void;
  /**
   * Closes a round, after its starts: promises are kept, missed, or void if
   * they were not renewed for long or their job has ended.
   */
  endRound(nowMs: number): void;
};

/** Room that is promised to a group. */
export type PromisedRoom = {
  atMs: number;
  tasks: number;
  executors: ReadonlySet<string>;
  nowMs: number;
};

type Promised = {
  executors: ReadonlySet<string>;
  madeAtMs: number;
  /** Time that was first promised. */
  firstAtMs: number;
  /** Time that was last promised. */
  atMs: number;
  renewedAtMs: number;
  /** Tasks that still wait once the promise is kept. */
  tasksLeft: number;
};

type HoldOff = { misses: number; untilMs: number };

/**
 * Creates a book of reservations without promises.
 *
 * @example
 * ```ts
 * const book = createReservationBook((event) => log(event.type));
 * ```
 */
export function createReservationBook(
  onEvent: (event: ReservationEvent) => void,
): ReservationBook {
  const promises = new Map<TaskGroup, Promised>();
  const holdOffs = new WeakMap<TaskGroup, HoldOff>();
  let searchedAtMs = -Infinity;

  /** Ends the promise to a group if it is kept or missed. */
  const settle = (group: TaskGroup, nowMs: number) => {
    const promised = promises.get(group);
    if (promised === undefined) return;
    const waitedMs = nowMs - promised.madeAtMs;
    if (countWaiting(group) <= promised.tasksLeft) {
      promises.delete(group);
      holdOffs.delete(group);
      onEvent({ type: "kept", group, waitedMs });
    } else if (nowMs > promised.firstAtMs + GRACE_MS) {
      promises.delete(group);
      const misses = (holdOffs.get(group)?.misses ?? 0) + 1;
      const holdOffMs = Math.min(
        HOLD_OFF_MS * 2 ** (misses - 1),
        MAX_HOLD_OFF_MS,
      );
      holdOffs.set(group, { misses, untilMs: nowMs + holdOffMs });
      onEvent({ type: "missed", group, waitedMs });
    }
  };

  return {
    ratios: createDurationRatios(),
    startRound(nowMs) {
      if (nowMs - searchedAtMs >= SEARCH_INTERVAL_MS) {
        searchedAtMs = nowMs;
        return "search";
      }
      return promises.size > 0 ? "renew" : "skip";
    },
    executorsOf: (group) => promises.get(group)?.executors,
    mayReserve(group, nowMs) {
      settle(group, nowMs);
      return nowMs >= (holdOffs.get(group)?.untilMs ?? -Infinity);
    },
    promise(group, { atMs, tasks, executors, nowMs }) {
      const known = promises.get(group);
      if (known === undefined) {
        promises.set(group, {
          executors,
          madeAtMs: nowMs,
          firstAtMs: atMs,
          atMs,
          renewedAtMs: nowMs,
          tasksLeft: countWaiting(group) - tasks,
        });
        onEvent({ type: "made", group, aheadMs: atMs - nowMs, tasks });
        return;
      }
      known.renewedAtMs = nowMs;
      known.executors = executors;
      const laterMs = atMs - known.atMs;
      if (laterMs < MIN_MOVE_MS) return;
      known.atMs = atMs;
      onEvent({ type: "moved", group, laterMs });
    },
    pause(group, nowMs) {
      const misses = holdOffs.get(group)?.misses ?? 0;
      holdOffs.set(group, { misses, untilMs: nowMs + PAUSE_MS });
    },
    endRound(nowMs) {
      for (const [group, { renewedAtMs }] of promises) {
        settle(group, nowMs);
        const isVoid = group.job.endedAtMs !== undefined ||
          nowMs - renewedAtMs > VOID_AFTER_MS;
        if (isVoid) promises.delete(group);
      }
    },
  };
}

function countWaiting({ tasks }: TaskGroup): number {
  let count = 0;
  for (const { isDone, runs } of tasks) {
    if (!isDone && runs.length === 0) count++;
  }
  return count;
}
