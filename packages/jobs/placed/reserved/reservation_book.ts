/**
 * Record of which groups were promised room, across rounds of placement. It
 * gives up promises that estimates do not keep, so that room is not held empty.
 *
 * @module
 */

import type { TaskGroup } from "../../job.ts";

/** Time in milliseconds after which an unkept promise counts as missed. */
const GRACE_MS = 500;

/** Time in milliseconds without reservations for a group after a miss. */
const HOLD_OFF_MS = 1_000;

/** Longest time without reservations for a group after several misses. */
const MAX_HOLD_OFF_MS = 8_000;

/** Delay of a promise from which it is reported as moved. */
const MIN_MOVE_MS = 250;

/** What happened to the reservation of a group. */
export type ReservationEvent =
  | { type: "made"; group: TaskGroup; aheadMs: number; tasks: number }
  | { type: "moved"; group: TaskGroup; laterMs: number }
  | { type: "kept"; group: TaskGroup; waitedMs: number }
  | { type: "missed"; group: TaskGroup; waitedMs: number };

/** Promises to groups, across rounds of placement. */
export type ReservationBook = {
  /** Returns whether room may be reserved for a group. */
  mayReserve(group: TaskGroup, nowMs: number): boolean;
  /** Notes that a group is promised room for some tasks until a time. */
  promise(
    group: TaskGroup,
    promised: { atMs: number; tasks: number; nowMs: number },
  ): void;
  /**
   * Closes a round: promises that it did not renew are kept, if no task of
   * their group waits any more, or void.
   */
  endRound(nowMs: number): void;
};

type Promised = {
  madeAtMs: number;
  /** Time that was first promised. */
  firstAtMs: number;
  /** Time that was last promised. */
  atMs: number;
  /** Rounds since the one that last renewed it. */
  unrenewedRounds: number;
};

type Missed = { count: number; untilMs: number };

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
  const misses = new WeakMap<TaskGroup, Missed>();

  const miss = (group: TaskGroup, { madeAtMs }: Promised, nowMs: number) => {
    const count = (misses.get(group)?.count ?? 0) + 1;
    const holdOffMs = Math.min(HOLD_OFF_MS * 2 ** (count - 1), MAX_HOLD_OFF_MS);
    misses.set(group, { count, untilMs: nowMs + holdOffMs });
    promises.delete(group);
    onEvent({ type: "missed", group, waitedMs: nowMs - madeAtMs });
  };

  return {
    mayReserve(group, nowMs) {
      const promised = promises.get(group);
      if (promised !== undefined && nowMs > promised.firstAtMs + GRACE_MS) {
        miss(group, promised, nowMs);
      }
      return nowMs >= (misses.get(group)?.untilMs ?? -Infinity);
    },
    promise(group, { atMs, tasks, nowMs }) {
      const known = promises.get(group);
      if (known === undefined) {
        promises.set(group, {
          madeAtMs: nowMs,
          firstAtMs: atMs,
          atMs,
          unrenewedRounds: 0,
        });
        onEvent({ type: "made", group, aheadMs: atMs - nowMs, tasks });
        return;
      }
      known.unrenewedRounds = 0;
      const laterMs = atMs - known.atMs;
      if (laterMs < MIN_MOVE_MS) return;
      known.atMs = atMs;
      onEvent({ type: "moved", group, laterMs });
    },
    endRound(nowMs) {
      for (const [group, promised] of promises) {
        // What a round places has runs only after the round.
        if (++promised.unrenewedRounds <= 2) continue;
        promises.delete(group);
        const isKept = group.tasks.every(({ isDone, runs }) =>
          isDone || runs.length > 0
        );
        if (!isKept) continue;
        onEvent({ type: "kept", group, waitedMs: nowMs - promised.madeAtMs });
      }
    },
  };
}
