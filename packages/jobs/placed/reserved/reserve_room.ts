/**
 * Reservations of one round of placement.
 *
 * @module
 */

import { isWithin, occupiedBy } from "../../executor_state.ts";
import type { TaskGroup } from "../../job.ts";
import type { Candidate } from "../choose_candidate.ts";
import { findObstacle, type FindObstacleOptions } from "../find_obstacle.ts";
import { createEstimates, type Estimates } from "./estimate_end.ts";
import { choosePlaces } from "./reservation.ts";
import type { ReservationBook } from "./reservation_book.ts";
import { forecastFreedRoom } from "./room_forecast.ts";

/** Most groups that are reserved room in a round. */
export const MAX_RESERVING_GROUPS = 4;

/**
 * Time for which a task waits before room is reserved for it. A shorter wait
 * for one of many ends needs no reservation.
 */
const RESERVE_AFTER_MS = 250;

/** Most tasks that are reserved room in a round, gangs apart. */
const MAX_RESERVED_TASKS = 16;

/** Room without a limit, to look for other obstacles than the capacity. */
const UNLIMITED = { cpu: Infinity, memoryMb: Infinity, accelerators: Infinity };

/** Reservations that a round of placement makes. */
export type RoundReservations = {
  estimates: Estimates;
  /** Returns whether room can be reserved for one more group. */
  isOpen(): boolean;
  /** Reserves room for waiting tasks of a group that fit nowhere now. */
  reserve(group: TaskGroup, waiting: number): void;
  /** Notes that this round places a task, whose room is free again later. */
  addPlaced(group: TaskGroup, candidate: Candidate): void;
  end(): void;
};

/** Starts the reservations of a round among its candidates. */
export function startReservations(
  book: ReservationBook,
  { candidates, nowMs, unixMs, mayRun }: {
    candidates: readonly Candidate[];
    nowMs: number;
    unixMs: number;
    mayRun?: FindObstacleOptions["mayRun"];
  },
): RoundReservations {
  const estimates = createEstimates({ nowMs, unixMs });
  let groupsLeft = MAX_RESERVING_GROUPS;
  let tasksLeft = MAX_RESERVED_TASKS;
  let hasForecast = false;

  const forecast = () => {
    if (hasForecast) return;
    hasForecast = true;
    for (const candidate of candidates) {
      const ofRuns = forecastFreedRoom(candidate.executor, {
        estimates,
        nowMs,
      });
      candidate.freed = [...candidate.freed, ...ofRuns]
        .sort((left, right) => left.atMs - right.atMs);
    }
  };

  const isOpenTo = (group: TaskGroup, { executor, placed }: Candidate) =>
    findObstacle(group, executor, {
      free: UNLIMITED,
      placedCount: placed.get(group) ?? 0,
      ...(mayRun === undefined ? {} : { mayRun }),
    }) === undefined;

  return {
    estimates,
    isOpen: () => groupsLeft > 0 && tasksLeft > 0,
    reserve(group, waiting) {
      const count = group.step.isGang ? waiting : Math.min(waiting, tasksLeft);
      if (groupsLeft === 0 || count === 0) return;
      if (!hasWaited(group, nowMs) || !book.mayReserve(group, nowMs)) return;
      forecast();
      const size = occupiedBy(group);
      const open = candidates.filter((candidate) => isOpenTo(group, candidate));
      // It waits for a reservation of another group.
      if (open.some(({ free }) => isWithin(size, free))) return;
      const places = choosePlaces(group, open, { count, nowMs });
      if (places.length === 0) return;
      groupsLeft--;
      if (!group.step.isGang) tasksLeft -= places.length;
      for (const { room, atMs } of places) {
        room.reservations.push({ group, size, atMs });
      }
      const atMs = Math.max(...places.map((place) => place.atMs));
      book.promise(group, { atMs, tasks: places.length, nowMs });
    },
    addPlaced(group, candidate) {
      const expectedMs = estimates.durationOf(group)?.expectedMs;
      if (expectedMs === undefined) return;
      const end = { atMs: nowMs + expectedMs, size: occupiedBy(group) };
      candidate.freed.push(end);
      candidate.freed.sort((left, right) => left.atMs - right.atMs);
    },
    end: () => book.endRound(nowMs),
  };
}

/** Returns whether a task of a group has waited for long. */
function hasWaited({ tasks }: TaskGroup, nowMs: number): boolean {
  return tasks.some(({ isDone, runs, waitingSinceMs }) =>
    !isDone && runs.length === 0 && nowMs - waitingSinceMs >= RESERVE_AFTER_MS
  );
}
