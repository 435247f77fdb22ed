/**
 * Reservations of room that running tasks are expected to free. They answer the
 * load of small and large jobs that compete for little room: without them,
 * small tasks take each gap as it opens, so that a large one never fits.
 *
 * @module
 */

import {
  type ExecutorState,
  isWithin,
  occupiedBy,
  rackOf,
} from "../../executor_state.ts";
import type { TaskGroup } from "../../job.ts";
import type { Size } from "../../submission.ts";
import type { Estimates } from "./estimate_end.ts";
import { addSize, fitTimes, type FreedRoom, roomAt } from "./room_forecast.ts";

/** Room on an executor that a waiting task of a group is to get. */
export type Reservation = { group: TaskGroup; size: Size; atMs: number };

/** Executor with its room now, what is freed there and what is reserved. */
export type ReservableRoom = {
  executor: ExecutorState;
  free: Size;
  freed: FreedRoom[];
  reservations: Reservation[];
};

/** Place for one task, at the time from which it fits there. */
export type Place<Room> = { room: Room; atMs: number };

/** Longest time for which room is reserved ahead, in milliseconds. */
export const MAX_AHEAD_MS = 3_000;

/** Most tasks of a group that are reserved room on one executor. */
const MAX_TASKS_PER_EXECUTOR = 4;

/**
 * Chooses where and when tasks of a group will fit first. A gang gets places
 * for all of its tasks or none, in one rack if it asks for one.
 *
 * @param rooms those on which the group may run
 */
export function choosePlaces<Room extends ReservableRoom>(
  group: TaskGroup,
  rooms: readonly Room[],
  { count, nowMs }: { count: number; nowMs: number },
): Place<Room>[] {
  const { isGang, isSameRack, maxPerExecutor } = group.step;
  const most = Math.min(
    count,
    isGang ? count : MAX_TASKS_PER_EXECUTOR,
    maxPerExecutor > 0 ? maxPerExecutor : count,
  );
  const places = rooms.flatMap((room) =>
    findPlaces(group, room, { most, nowMs })
  )
    .sort((left, right) => left.atMs - right.atMs);
  if (!isGang) return places.slice(0, count);
  if (!isSameRack) return places.length < count ? [] : places.slice(0, count);
  return firstRackWithAll(places, count);
}

/** Returns the places for tasks of a group on one executor, in time order. */
function findPlaces<Room extends ReservableRoom>(
  group: TaskGroup,
  room: Room,
  { most, nowMs }: { most: number; nowMs: number },
): Place<Room>[] {
  const free = { ...room.free };
  for (const { size } of room.reservations) addSize(free, size, -1);
  const { freed } = room;
  return fitTimes(occupiedBy(group), { free, freed, nowMs, most })
    .filter((atMs) => atMs - nowMs <= MAX_AHEAD_MS)
    .map((atMs) => ({ room, atMs }));
}

function firstRackWithAll<Room extends ReservableRoom>(
  places: readonly Place<Room>[],
  count: number,
): Place<Room>[] {
  const byRack = new Map<string, Place<Room>[]>();
  for (const place of places) {
    const rack = rackOf(place.room.executor);
    const inRack = byRack.get(rack) ?? [];
    byRack.set(rack, inRack);
    inRack.push(place);
    // The places come in the order of time.
    if (inRack.length === count) return inRack;
  }
  return [];
}

/**
 * Returns whether a task of a group may run on an executor beside the
 * reservations there: it ends before them or leaves their room. A group that is
 * in time now and would not be after them may run in any case.
 */
export function mayPass(
  group: TaskGroup,
  { free, freed, reservations }: ReservableRoom,
  { estimates, nowMs }: { estimates: Estimates; nowMs: number },
): boolean {
  const others = reservations.filter((other) => other.group !== group);
  if (others.length === 0) return true;
  const firstMs = Math.min(...others.map(({ atMs }) => atMs));
  const longestMs = estimates.durationOf(group)?.longestMs ?? Infinity;
  if (nowMs + longestMs <= firstMs) return true;
  const latestStartMs = estimates.latestStartOf(group);
  if (latestStartMs >= nowMs && latestStartMs < firstMs) return true;
  const lastMs = Math.max(...others.map(({ atMs }) => atMs));
  const room = roomAt(free, freed, lastMs);
  for (const { size } of others) addSize(room, size, -1);
  return isWithin(occupiedBy(group), room);
}
