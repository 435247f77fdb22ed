/**
 * Reservations of one round of placement.
 *
 * @module
 */

import {
  type ExecutorState,
  isWithin,
  largestOf,
  occupiedBy,
} from "../../executor_state.ts";
import type { Task, TaskGroup } from "../../job.ts";
import type { Size } from "../../submission.ts";
import type { Candidate } from "../choose_candidate.ts";
import { findObstacle } from "../find_obstacle.ts";
import { isSuspect } from "../probation.ts";
import { createEstimates, type Estimates } from "./estimate_end.ts";
import { addReservation, choosePlaces } from "./reservation.ts";
import type { ReservationBook } from "./reservation_book.ts";
import { forecastFreedRoom, type FreedRoom } from "./room_forecast.ts";

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

/** Most groups that a round looks for room to reserve for. */
const MAX_ATTEMPTS = 8;

/** Most groups that a round tries beside reservations, once no room is left. */
const MAX_PASSING_GROUPS = 100;

/** Reservations that a round of placement makes. */
export type RoundReservations = {
  estimates: Estimates;
  /** Candidates with reservations. */
  reserved: readonly Candidate[];
  /** Returns whether room may be reserved for a group that waits for some. */
  isReservable(group: TaskGroup): boolean;
  /**
   * Returns whether a group that fits on no candidate without reservations may
   * still be placed or reserved room.
   */
  isOpenTo(group: TaskGroup): boolean;
  /** Reserves room for waiting tasks of a group that fit nowhere now. */
  reserve(group: TaskGroup, waiting: readonly Task[]): void;
  /** Notes that this round places a task, whose room is free again later. */
  addPlaced(group: TaskGroup, candidate: Candidate): void;
};

/** Options of {@linkcode startReservations}. */
export type ReservationOptions = {
  candidates: readonly Candidate[];
  nowMs: number;
  unixMs: number;
  /** Whether an executor is known not to run a step. */
  isRefused?:
    | ((group: TaskGroup, executor: ExecutorState) => boolean)
    | undefined;
};

/**
 * Starts the reservations of a round among its candidates; returns undefined if
 * the round makes none.
 */
export function startReservations(
  book: ReservationBook,
  { candidates, nowMs, unixMs, isRefused }: ReservationOptions,
): RoundReservations | undefined {
  const kind = book.startRound(nowMs);
  if (kind === "skip") return undefined;
  const estimates = createEstimates({
    nowMs,
    unixMs,
    ratio: book.ratios.current(),
  });
  const largest = largestOf(
    candidates.map(({ executor }) => executor.report.capacity),
  );
  const reserved: Candidate[] = [];
  let groupsLeft = MAX_RESERVING_GROUPS;
  let tasksLeft = MAX_RESERVED_TASKS;
  let attemptsLeft = MAX_ATTEMPTS;
  let passingLeft = MAX_PASSING_GROUPS;
  const forecasted = new Set<Candidate>();
  /** Most that a candidate with reservations has free, once it is computed. */
  let largestFree: Size | undefined;

  const forecast = (candidate: Candidate) => {
    if (forecasted.has(candidate)) return;
    forecasted.add(candidate);
    candidate.freed = forecastOf(candidate, { estimates, nowMs });
    candidate.spare = undefined;
  };

  // Requests no tickets: those are requested once there is room.
  const mayGet = (group: TaskGroup, candidate: Candidate) =>
    (group.step.isGang || !candidate.hasSuspectTask) &&
    findObstacle(group, candidate.executor, {
        free: UNLIMITED,
        placedCount: candidate.placed.get(group) ?? 0,
      }) === undefined &&
    !(isRefused?.(group, candidate.executor) ?? false);

  const mayReserveMore = () =>
    groupsLeft > 0 && tasksLeft > 0 && attemptsLeft > 0;

  const isReservable = (group: TaskGroup) =>
    (kind === "search" || book.executorsOf(group) !== undefined) &&
    !group.step.isFilling && isWithin(occupiedBy(group), largest) &&
    hasWaited(group, nowMs) && book.mayReserve(group, nowMs);

  const findPlaces = (group: TaskGroup, waiting: readonly Task[]) => {
    const { isGang } = group.step;
    const count = isGang ? waiting.length : Math.min(waiting.length, tasksLeft);
    const promised = book.executorsOf(group);
    const open = candidates.filter((candidate) =>
      (kind === "search" || promised?.has(candidate.executor.id)) &&
      mayGet(group, candidate)
    );
    for (const candidate of open) forecast(candidate);
    const size = occupiedBy(group);
    const waitsForOthers = open.some(({ free, reservations }) =>
      reservations.length > 0 && isWithin(size, free)
    );
    if (waitsForOthers && !isGang) return [];
    const mostOn = (candidate: Candidate) => countFree(group, candidate);
    return choosePlaces(group, open, { count, nowMs, mostOn });
  };

  return {
    estimates,
    reserved,
    isReservable,
    isOpenTo(group) {
      const size = occupiedBy(group);
      largestFree ??= largestOf(reserved.map(({ free }) => free));
      const hasRoom = passingLeft > 0 && reserved.length > 0 &&
        isWithin(size, largestFree);
      if (hasRoom) passingLeft--;
      return hasRoom || (mayReserveMore() && isReservable(group));
    },
    reserve(group, waiting) {
      if (!mayReserveMore() || !isReservable(group)) return;
      const { isGang } = group.step;
      if (
        isGang ? waiting.length < group.tasks.length : waiting.some(isSuspect)
      ) {
        return;
      }
      attemptsLeft--;
      const places = findPlaces(group, waiting);
      if (places.length === 0) {
        return kind === "search" ? book.pause(group, nowMs) : undefined;
      }
      groupsLeft--;
      if (!isGang) tasksLeft -= places.length;
      const size = occupiedBy(group);
      for (const { room, atMs } of places) {
        if (room.reservations.length === 0) reserved.push(room);
        largestFree = undefined;
        addReservation(room, { group, size, atMs });
      }
      const atMs = Math.max(...places.map((place) => place.atMs));
      const executors = new Set(places.map(({ room }) => room.executor.id));
      const tasks = places.length;
      book.promise(group, { atMs, tasks, executors, nowMs });
    },
    addPlaced(group, candidate) {
      if (candidate.reservations.length > 0) largestFree = undefined;
      // A forecast that is made later includes it.
      if (!forecasted.has(candidate)) return;
      candidate.freed.push(...forecastPlaced(group, { estimates, nowMs }));
      candidate.freed.sort(inOrder);
      candidate.spare = undefined;
    },
  };
}

type ForecastOptions = { estimates: Estimates; nowMs: number };

/** Returns what runs and tasks that this round has placed will free. */
function forecastOf(
  { executor, placed }: Candidate,
  options: ForecastOptions,
): FreedRoom[] {
  const freed = forecastFreedRoom(executor, options);
  for (const [group, count] of placed) {
    for (let task = 0; task < count; task++) {
      freed.push(...forecastPlaced(group, options));
    }
  }
  return freed.sort(inOrder);
}

function forecastPlaced(
  group: TaskGroup,
  { estimates, nowMs }: ForecastOptions,
): FreedRoom[] {
  const expectedMs = estimates.durationOf(group)?.expectedMs;
  if (expectedMs === undefined) return [];
  return [{ atMs: nowMs + expectedMs, size: occupiedBy(group) }];
}

function inOrder(left: FreedRoom, right: FreedRoom): number {
  return left.atMs - right.atMs;
}

/** Returns how many more tasks of a group an executor may have. */
function countFree(
  group: TaskGroup,
  { executor, placed }: Candidate,
): number {
  const { maxPerExecutor } = group.step;
  if (maxPerExecutor === 0) return Infinity;
  let count = maxPerExecutor - (placed.get(group) ?? 0);
  for (const { task } of executor.runs) if (task.group === group) count--;
  return count;
}

/** Returns whether a task of a group has waited for long. */
function hasWaited({ tasks }: TaskGroup, nowMs: number): boolean {
  return tasks.some(({ isDone, runs, waitingSinceMs }) =>
    !isDone && runs.length === 0 && nowMs - waitingSinceMs >= RESERVE_AFTER_MS
  );
}
