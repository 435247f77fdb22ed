import { isGroupReady, type Job, type Task, type TaskGroup } from "../job.ts";
import type { Size } from "../submission.ts";
import { remainingCriticalPathMs } from "./due_time.ts";
import { isSchedulable, rackOf, type Worker } from "../worker.ts";

/** Decision to run a task on an executor. */
export type Placement = { task: Task; worker: Worker; reason: string };

/** Inputs of {@linkcode placeTasks}. */
export type PlaceOptions = {
  workers: readonly Worker[];
  /** Steady time in milliseconds. */
  nowMs: number;
  /** Unix time in milliseconds. */
  unixMs: number;
  /** Rank of a queue; 0 comes first. */
  priorityOf(job: Job): number;
  /** Whether an executor has a permission to run a step. */
  isAllowed?(group: TaskGroup, worker: Worker): boolean;
};

/** Room that this round has not given away yet. */
type Room = {
  worker: Worker;
  free: Size;
  placed: Map<TaskGroup, number>;
};

/**
 * Chooses executors for tasks that are ready to run: lasting tasks first, then
 * jobs that can still be on time, by rank of their queue and by due time, then
 * the late ones. Each task goes to the executor that it fills best.
 *
 * @example
 * ```ts
 * const placements = placeTasks(book.values(), options);
 * ```
 */
export function placeTasks(
  jobs: Iterable<Job>,
  options: PlaceOptions,
): Placement[] {
  const rooms: Room[] = options.workers
    .filter((worker) => isSchedulable(worker, options.nowMs))
    .map((worker) => ({
      worker,
      free: { ...worker.free },
      placed: new Map(),
    }));
  if (rooms.length === 0) return [];
  const placements: Placement[] = [];
  for (const group of orderGroups(jobs, options)) {
    placeGroup(group, { rooms, placements, options });
  }
  return placements;
}

/** Returns the groups with tasks to place, in the order of service. */
function orderGroups(
  jobs: Iterable<Job>,
  options: PlaceOptions,
): TaskGroup[] {
  const ranked: { group: TaskGroup; rank: number[] }[] = [];
  for (const job of jobs) {
    if (job.endedAtMs !== undefined) continue;
    const isLate = isHopeless(job, options.unixMs) ? 1 : 0;
    for (const group of job.groups) {
      if (group.doneCount >= group.tasks.length) continue;
      if (!isGroupReady(group)) continue;
      if (!group.tasks.some((task) => isWaiting(task, options.nowMs))) continue;
      const lasting = group.step.isLasting ? 0 : 1;
      const filling = group.step.isFilling ? 1 : 0;
      ranked.push({
        group,
        rank: [
          lasting + 2 * filling,
          isLate,
          options.priorityOf(job),
          job.dueAtMs,
          job.offset,
        ],
      });
    }
  }
  ranked.sort((left, right) => compareRanks(left.rank, right.rank));
  return ranked.map(({ group }) => group);
}

/** Part of the estimates that a job needs at least, since they are rough. */
const LEAST_WORK_SHARE = 0.6;

/** Returns whether a job can't be on time any more, even if it starts now. */
function isHopeless(job: Job, unixMs: number): boolean {
  const leftMs = job.dueAtMs - unixMs;
  if (leftMs < 0) return true;
  return leftMs < LEAST_WORK_SHARE * remainingCriticalPathMs(job.groups);
}

function compareRanks(left: number[], right: number[]): number {
  for (let at = 0; at < left.length; at++) {
    if (left[at]! !== right[at]!) return left[at]! - right[at]!;
  }
  return 0;
}

/** Returns whether a task has no run and may be given one. */
export function isWaiting(task: Task, nowMs: number): boolean {
  return !task.isDone && task.runs.length === 0 &&
    task.blockedUntilMs <= nowMs;
}

type Round = {
  rooms: Room[];
  placements: Placement[];
  options: PlaceOptions;
};

function placeGroup(group: TaskGroup, round: Round): void {
  const waiting = group.tasks.filter((task) =>
    isWaiting(task, round.options.nowMs)
  );
  if (group.step.isGang || group.step.isSameRack) {
    placeTogether(group, { waiting, round });
    return;
  }
  for (const task of waiting) {
    const room = chooseRoom(task, round.rooms, round.options);
    // The tasks of a step have one size, so that there is no room for others.
    if (room === undefined) return;
    take(room, { task, round });
  }
}

/** Places the tasks of a gang at once or not at all, in one rack if asked. */
function placeTogether(
  group: TaskGroup,
  { waiting, round }: { waiting: Task[]; round: Round },
): void {
  if (group.step.isGang && group.tasks.some((task) => task.runs.length > 0)) {
    return;
  }
  const racks = group.step.isSameRack
    ? [...new Set(round.rooms.map(({ worker }) => rackOf(worker)))]
    : [undefined];
  for (const rack of racks) {
    const rooms = round.rooms
      .filter(({ worker }) => rack === undefined || rackOf(worker) === rack)
      .map((room) => ({
        ...room,
        free: { ...room.free },
        placed: new Map(room.placed),
        origin: room,
      }));
    const chosen: { task: Task; room: Room }[] = [];
    for (const task of waiting) {
      const room = chooseRoom(task, rooms, round.options);
      if (room === undefined) break;
      reduce(room, group);
      chosen.push({ task, room: (room as typeof rooms[number]).origin });
    }
    if (chosen.length < waiting.length) continue;
    for (const { task, room } of chosen) take(room, { task, round });
    return;
  }
  if (group.step.isGang) return;
  // Work that is spread over racks is slow but better than none.
  for (const task of waiting) {
    const room = chooseRoom(task, round.rooms, round.options);
    if (room === undefined) return;
    take(room, { task, round });
  }
}

function chooseRoom(
  task: Task,
  rooms: readonly Room[],
  options: PlaceOptions,
): Room | undefined {
  let best: Room | undefined;
  let bestScore = Infinity;
  for (const room of rooms) {
    if (!fits(task, room, options)) continue;
    const score = scoreOf(task, room);
    if (score < bestScore) [best, bestScore] = [room, score];
  }
  return best;
}

function fits(task: Task, room: Room, options: PlaceOptions): boolean {
  const { group } = task;
  const { step } = group;
  const { worker, free } = room;
  const hasCpu = step.isFilling || free.cpu >= step.size.cpu;
  if (!hasCpu || free.memoryMb < step.size.memoryMb) return false;
  if (free.accelerators < step.size.accelerators) return false;
  if (step.label !== "" && !worker.report.labels.includes(step.label)) {
    return false;
  }
  if (step.maxPerExecutor > 0) {
    let present = room.placed.get(group) ?? 0;
    for (const run of worker.runs) if (run.task.group === group) present++;
    if (present >= step.maxPerExecutor) return false;
  }
  return options.isAllowed?.(group, worker) ?? true;
}

/** Weight of a serving task beside a filling one, in thousandths of a core. */
const SERVING_PENALTY_CPU = 20_000;

/** Weight of one more task of the group in a rack, in thousandths of a core. */
const RACK_SPREAD_CPU = 4_000;

/** Weight of a failure of the task on the executor, as above. */
const FAILURE_PENALTY_CPU = 100_000_000;

/** Weight of data that lies in another rack, in thousandths of a core. */
const FAR_PENALTY_CPU = 1_000_000;

/** Returns how badly a task fits; the least is best. */
function scoreOf(task: Task, room: Room): number {
  const { step } = task.group;
  const { worker, free } = room;
  let score = free.cpu;
  if (task.avoidedExecutors.has(worker.id)) score += FAILURE_PENALTY_CPU;
  if (step.rack !== "" && !worker.report.labels.includes(step.rack)) {
    score += FAR_PENALTY_CPU;
  }
  if (step.isLasting) {
    // Lasting tasks of a job in one rack would fail together.
    score += RACK_SPREAD_CPU * countInRack(task.group, rackOf(worker));
  }
  if (step.isFilling) {
    score += -2 * free.cpu + SERVING_PENALTY_CPU * countServing(worker);
  }
  return score;
}

function countInRack(group: TaskGroup, rack: string): number {
  let count = 0;
  for (const task of group.tasks) {
    for (const run of task.runs) if (rackOf(run.worker) === rack) count++;
  }
  return count;
}

function countServing(worker: Worker): number {
  let count = 0;
  for (const run of worker.runs) if (run.task.group.step.targetMs > 0) count++;
  return count;
}

function reduce(room: Room, group: TaskGroup): void {
  const { size, isFilling } = group.step;
  if (!isFilling) room.free.cpu -= size.cpu;
  room.free.memoryMb -= size.memoryMb;
  room.free.accelerators -= size.accelerators;
  room.placed.set(group, (room.placed.get(group) ?? 0) + 1);
}

function take(
  room: Room,
  { task, round }: { task: Task; round: Round },
): void {
  const left = Math.round(room.free.cpu);
  reduce(room, task.group);
  round.placements.push({
    task,
    worker: room.worker,
    reason: `best fit of ${round.rooms.length}: ${left} mcpu were free`,
  });
}
