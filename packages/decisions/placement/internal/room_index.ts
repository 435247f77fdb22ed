import type { JobSize } from "../../fold/job_state.ts";
import { addSize, fitsInto } from "../job_size.ts";
import type { JobRound, Room } from "./job_round.ts";

/**
 * Fitting workers that are compared for one job. The search begins with the
 * least room, so that further ones are hardly ever better.
 */
const MAX_COMPARED = 32;

/** Leftover cores that one more job of the team in the same rack outweighs. */
const RACK_PENALTY_CORES = 2;

/** Open workers by free accelerators and whole free cores. */
export type RoomIndex = {
  bins: Map<number, Room[][]>;
  /** Running jobs by team and rack. */
  racks: Map<string, Map<string, number>>;
};

/** Indexes the open workers that are not on trial. */
export function indexRooms(round: JobRound): RoomIndex {
  const index: RoomIndex = { bins: new Map(), racks: new Map() };
  for (const room of round.rooms.values()) {
    for (const { job } of room.runs) countRack(index, job.team, room.rack);
    if (room.isOpen && !room.isTrial) putRoom(index, room);
  }
  return index;
}

/** Options of {@linkcode findRoom}. */
export type FindRoomOptions = {
  size: JobSize;
  team: string;
  failedWorkers: readonly string[];
};

/**
 * Finds the worker that a job fits best: least accelerators left over, then
 * least cores, then spread over racks.
 */
export function findRoom(
  index: RoomIndex,
  options: FindRoomOptions,
): Room | undefined {
  const kinds = [...index.bins.keys()]
    .filter((free) => free >= options.size.accelerators)
    .sort((a, b) => a - b);
  for (const kind of kinds) {
    const bins = index.bins.get(kind)!;
    const first = Math.max(0, Math.floor(options.size.cores));
    for (let cores = first; cores < bins.length; cores++) {
      const found = findInBin(index, { ...options, kind, cores });
      if (found !== undefined) return found;
    }
  }
  return undefined;
}

function findInBin(
  index: RoomIndex,
  options: FindRoomOptions & { kind: number; cores: number },
): Room | undefined {
  const { size, team, kind, cores } = options;
  const bin = index.bins.get(kind)![cores];
  const racks = index.racks.get(team);
  let best: Room | undefined;
  let bestScore = Infinity;
  let compared = 0;
  for (let at = 0; at < (bin?.length ?? 0); at++) {
    const room = bin![at]!;
    if (!isIn(room, options)) {
      // The room has changed since it was put here.
      bin![at--] = bin!.at(-1)!;
      bin!.pop();
      continue;
    }
    if (!fitsInto(size, room.free)) continue;
    if (!fitsInto(size, room.future)) continue;
    if (options.failedWorkers.includes(room.name)) continue;
    const score = room.free.cores +
      RACK_PENALTY_CORES * (racks?.get(room.rack) ?? 0);
    if (score < bestScore) [best, bestScore] = [room, score];
    if (++compared >= MAX_COMPARED) break;
  }
  return best;
}

function isIn(room: Room, bin: { kind: number; cores: number }): boolean {
  return room.isOpen && room.free.accelerators === bin.kind &&
    wholeCores(room) === bin.cores;
}

/** Takes room on a worker for a job. */
export function takeRoom(
  index: RoomIndex,
  room: Room,
  { size, team }: { size: JobSize; team: string },
): void {
  addSize(room.free, size, -1);
  addSize(room.future, size, -1);
  countRack(index, team, room.rack);
  putRoom(index, room);
}

function putRoom({ bins }: RoomIndex, room: Room): void {
  if (room.free.cores < 0 || room.free.accelerators < 0) return;
  const kind = room.free.accelerators;
  const cores = wholeCores(room);
  if (!bins.has(kind)) bins.set(kind, []);
  const ofKind = bins.get(kind)!;
  while (ofKind.length <= cores) ofKind.push([]);
  ofKind[cores]!.push(room);
}

/** A sum such as 3.9999999 counts as 4. */
function wholeCores(room: Room): number {
  return Math.floor(room.free.cores + 1e-6);
}

function countRack(index: RoomIndex, team: string, rack: string): void {
  let racks = index.racks.get(team);
  if (racks === undefined) index.racks.set(team, racks = new Map());
  racks.set(rack, (racks.get(rack) ?? 0) + 1);
}
