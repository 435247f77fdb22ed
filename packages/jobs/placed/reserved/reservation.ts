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
import { addSize } from "../../_sizes.ts";
import { fitTimes, type FreedRoom } from "./room_forecast.ts";

/** Room on an executor that a waiting task of a group is to get. */
export type Reservation = { group: TaskGroup; size: Size; atMs: number };

/** Executor with its room now, what is freed there and what is reserved. */
export type ReservableRoom = {
  executor: ExecutorState;
  free: Size;
  freed: FreedRoom[];
  reservations: Reservation[];
  /** What the reservations leave; undefined if it has to be computed anew. */
  spare?: SpareRoom | undefined;
};

/** Room that the reservations on an executor leave. */
export type SpareRoom = {
  /** Time of the first reservation. */
  firstMs: number;
  /** Most of each resource that can be taken for good. */
  size: Size;
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
 * @param options.mostOn most tasks of the group that one of them may get
 */
export function choosePlaces<Room extends ReservableRoom>(
  group: TaskGroup,
  rooms: readonly Room[],
  { count, nowMs, mostOn }: {
    count: number;
    nowMs: number;
    mostOn(room: Room): number;
  },
): Place<Room>[] {
  const { isGang, isSameRack } = group.step;
  const most = isGang ? count : Math.min(count, MAX_TASKS_PER_EXECUTOR);
  const places = rooms.flatMap((room) =>
    findPlaces(group, room, { most: Math.min(most, mostOn(room)), nowMs })
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

/** Adds a reservation to those on an executor. */
export function addReservation(
  room: ReservableRoom,
  reservation: Reservation,
): void {
  room.reservations.push(reservation);
  room.spare = undefined;
}

/**
 * Returns whether a task of a group may run on an executor beside the
 * reservations there: it leaves their room or ends before them. A group that is
 * in time now and would not be after them may run in any case, as well as
 * lasting tasks, which nobody can do without meanwhile.
 */
export function mayPass(
  group: TaskGroup,
  room: ReservableRoom,
  { estimates, nowMs }: { estimates: Estimates; nowMs: number },
): boolean {
  if (room.reservations.length === 0 || group.step.isLasting) return true;
  const { firstMs, size } = room.spare ??= spareRoomOf(room);
  if (isWithin(occupiedBy(group), size)) return true;
  const longestMs = estimates.durationOf(group)?.longestMs ?? Infinity;
  if (nowMs + longestMs <= firstMs) return true;
  const latestStartMs = estimates.latestStartOf(group);
  return latestStartMs >= nowMs && latestStartMs < firstMs;
}

/** Returns what is left at the time of each reservation, the least of it. */
function spareRoomOf({ free, freed, reservations }: ReservableRoom): SpareRoom {
  const inOrder = [...reservations]
    .sort((left, right) => left.atMs - right.atMs);
  const room = { ...free };
  const size: Size = {
    cpu: Infinity,
    memoryMb: Infinity,
    accelerators: Infinity,
  };
  let next = 0;
  for (const reservation of inOrder) {
    for (; next < freed.length; next++) {
      if (freed[next]!.atMs > reservation.atMs) break;
      addSize(room, freed[next]!.size);
    }
    addSize(room, reservation.size, -1);
    size.cpu = Math.min(size.cpu, room.cpu);
    size.memoryMb = Math.min(size.memoryMb, room.memoryMb);
    size.accelerators = Math.min(size.accelerators, room.accelerators);
  }
  return { firstMs: inOrder[0]?.atMs ?? Infinity, size };
}
