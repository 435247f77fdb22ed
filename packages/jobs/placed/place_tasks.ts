/**
 * Placement of waiting tasks on executors.
 *
 * @module
 */

import {
  hasEnded,
  isBeingStopped,
  isPlaceable,
  type Job,
  type PlacementTimes,
  type Task,
  type TaskGroup,
} from "../job.ts";
import type { Shares } from "../organisations/shares/shares.ts";
import type { Size } from "../submission.ts";
import {
  type ExecutorState,
  isLastResort,
  isSchedulable,
  isWithin,
  largestOf,
  occupiedBy,
} from "../executor_state.ts";
import {
  type Choice,
  chooseInOneRack,
  chooseTogether,
} from "./_choose_together.ts";
import type { PlacementBudget } from "../organisations/caps/placement_budget.ts";
import { maySpreadGang } from "./_may_spread_gang.ts";
import { rankGroups } from "./_rank_groups.ts";
import {
  type Candidate,
  chooseCandidate,
  type ChooseOptions,
  createCandidate,
  occupy,
  takePlace,
} from "./choose_candidate.ts";
import { mustStartAlone } from "./probation.ts";
import type { ReservationBook } from "./reserved/reservation_book.ts";
import {
  type RoundReservations,
  startReservations,
} from "./reserved/reserve_room.ts";

/**
 * Time for which a lasting task waits before it may go to a reserved executor.
 * Short tasks elsewhere may end in this time.
 */
const LAST_RESORT_AFTER_MS = 1_500;

/** Decision to run a task on an executor. */
export type Placement = { task: Task; executor: ExecutorState; reason: string };

/** Options of {@linkcode placeTasks}. */
export type PlaceOptions = PlacementTimes & {
  executors: readonly ExecutorState[];
  /** Current Unix time in milliseconds. */
  unixMs: number;
  /** Priority of a job's queue; lower numbers are served first. */
  priorityOf(job: Job): number;
  /** Whether an executor may run a step; true for all if undefined. */
  mayRun?(group: TaskGroup, executor: ExecutorState): boolean;
  /** Weights of organisations; undefined if there are none. */
  shares?: Shares | undefined;
  /** What may start of each organisation; anything if undefined. */
  budget?: PlacementBudget | undefined;
  /**
   * Returns the record of the reservations of a service, for tasks that fit
   * nowhere now. No room is reserved if it is undefined.
   */
  reservationsOf?: ((service: string) => ReservationBook) | undefined;
  /**
   * Whether an executor is known not to run a step, without a request; false
   * for all if undefined.
   */
  isRefused?(group: TaskGroup, executor: ExecutorState): boolean;
};

/**
 * Chooses executors for tasks that are ready to run, among those of the service
 * of their job. Lasting tasks come first and filling ones last. Within these
 * classes, jobs that can still be on time come first, and those that nobody
 * waits for any more last, as in an overload not all can be served. Where there
 * are organisations, jobs beyond the weight of theirs come after the others,
 * and jobs of equal standing are ordered by the shares of theirs. A task goes
 * to the executor of the lowest cost that has capacity for it, which is by
 * default the one with the least free processor time. A lasting task that has
 * waited for 1.5 s may also go to an executor that is reserved, but not drained
 * yet.
 *
 * @example
 * ```ts
 * const placements = placeTasks(jobs.values(), options);
 * ```
 */
export function placeTasks(
  jobs: Iterable<Job>,
  options: PlaceOptions,
): Placement[] {
  const executors = groupByKey(
    options.executors,
    ({ report }) => report.service,
  );
  const jobsByService = groupByKey(jobs, ({ accepted }) => accepted.service);
  return [...jobsByService].flatMap(([service, ofService]) =>
    placeOfService(ofService, {
      ...options,
      executors: executors.get(service) ?? [],
      book: options.reservationsOf?.(service),
    })
  );
}

function groupByKey<Value>(
  values: Iterable<Value>,
  keyOf: (value: Value) => string,
): Map<string, Value[]> {
  const groups = new Map<string, Value[]>();
  for (const value of values) {
    const group = groups.get(keyOf(value));
    if (group === undefined) groups.set(keyOf(value), [value]);
    else group.push(value);
  }
  return groups;
}

/** Options of placement among the executors of one service. */
type ServiceOptions = PlaceOptions & { book: ReservationBook | undefined };

/** Chooses executors for the tasks of one service, which share no capacity. */
function placeOfService(
  jobs: readonly Job[],
  options: ServiceOptions,
): Placement[] {
  const { executors, monotonicMs, book } = options;
  const candidates = executors
    .filter((executor) => isSchedulable(executor, monotonicMs))
    .map(createCandidate);
  const lastResorts = executors
    .filter((executor) => isLastResort(executor, monotonicMs))
    .map(createCandidate);
  const largestFree = largestOf(
    [...candidates, ...lastResorts].map(({ free }) => free),
  );
  const reservations = book && startReservations(book, {
    candidates,
    nowMs: monotonicMs,
    unixMs: options.unixMs,
    isRefused: options.isRefused,
  });
  const isReservable = reservations?.isReservable;
  const groups = rankGroups(jobs, { ...options, largestFree, isReservable });
  if (groups.length === 0) return [];
  const round: PlacementRound = {
    candidates,
    lastResorts,
    placements: [],
    options: { ...options, estimates: reservations?.estimates },
    reservations,
    failedSizes: [],
  };
  let arePlacesKept = false;
  for (const group of groups) {
    if (!group.step.isLasting && !arePlacesKept) {
      keepPlaces(jobs, round);
      arePlacesKept = true;
    }
    if (!hasFailed(group, round)) placeGroup(group, round);
    else if (reservations?.isOpenTo(group)) {
      placeGroup(group, { ...round, candidates: reservations.reserved });
    }
  }
  placeOnLastResorts(groups, round);
  return round.placements;
}

/** Keeps places from short tasks for lasting tasks that are being moved. */
function keepPlaces(
  jobs: readonly Job[],
  { candidates, options }: PlacementRound,
): void {
  for (const job of jobs) {
    if (hasEnded(job)) continue;
    for (const { step, tasks } of job.groups) {
      if (!step.isLasting) continue;
      for (const task of tasks) {
        if (isBeingStopped(task)) takePlace(task, candidates, options);
      }
    }
  }
}

/**
 * Returns whether a task of the same size or a smaller one fitted on no
 * executor without reservations in this round.
 */
function hasFailed(group: TaskGroup, { failedSizes }: PlacementRound): boolean {
  const size = occupiedBy(group);
  return failedSizes.some((failed) => isWithin(failed, size));
}

/** Notes the size of a group if no executor has capacity for a task of it. */
function noteFailure(group: TaskGroup, round: PlacementRound): void {
  const size = occupiedBy(group);
  const hasCapacity = round.candidates.some(({ free, reservations }) =>
    reservations.length === 0 && isWithin(size, free)
  );
  if (!hasCapacity && !hasFailed(group, round)) round.failedSizes.push(size);
}

/** State of one call of {@linkcode placeOfService}. */
type PlacementRound = {
  candidates: readonly Candidate[];
  /** Reserved executors for lasting tasks that fit on no candidate. */
  lastResorts: Candidate[];
  placements: Placement[];
  options: PlaceOptions & Pick<ChooseOptions, "estimates">;
  /** Reservations of this round; undefined if none are made. */
  reservations: RoundReservations | undefined;
  /** Sizes of tasks for which no executor has had capacity. */
  failedSizes: Size[];
};

function placeGroup(group: TaskGroup, round: PlacementRound): void {
  // A group beyond its organisation's budget must not delay those behind it.
  const affordable = countAffordable(group, round.options);
  if (affordable === 0) return;
  const waiting = group.tasks.filter((task) => isPlaceable(task, round.options))
    .slice(0, affordable);
  if (group.step.isGang || group.step.isSameRack) {
    placeTogether(group, { waiting, round });
    return;
  }
  for (const task of waiting) {
    const candidate = chooseCandidate(task, round.candidates, round.options);
    if (candidate === undefined) {
      if (mustStartAlone(task, round.options.monotonicMs)) continue;
      // All tasks of a step have the same size, so none of the others fits.
      noteFailure(group, round);
      const left = waiting.slice(waiting.indexOf(task));
      return void round.reservations?.reserve(group, left);
    }
    assign(candidate, { task, round });
  }
}

/** Returns how many tasks of a group its organisation's budget allows. */
function countAffordable(
  { job, step }: TaskGroup,
  { budget }: PlaceOptions,
): number {
  return budget?.count(job, step.size) ?? Infinity;
}

/**
 * Places lasting tasks that have waited for long on reserved executors, which
 * are not drained while their own tasks fit nowhere else.
 */
function placeOnLastResorts(
  groups: readonly TaskGroup[],
  round: PlacementRound,
): void {
  const { lastResorts, options, placements } = round;
  if (lastResorts.length === 0) return;
  const placed = new Set(placements.map(({ task }) => task));
  for (const { step, tasks } of groups) {
    if (!step.isLasting || step.isGang) continue;
    for (const task of tasks) {
      const waitedMs = options.monotonicMs - task.waitingSinceMs;
      if (waitedMs < LAST_RESORT_AFTER_MS || placed.has(task)) continue;
      if (!isPlaceable(task, options)) continue;
      if (countAffordable(task.group, options) === 0) break;
      const candidate = chooseCandidate(task, lastResorts, options);
      if (candidate !== undefined) assign(candidate, { task, round });
    }
  }
}

/**
 * Places all tasks of a gang or none. If the step asks for one rack, they are
 * placed in a rack that has capacity for all of them. Without such a rack, the
 * tasks are spread over several ones, where they are slow, but still make
 * progress; a gang may wait for a rack first.
 */
function placeTogether(
  group: TaskGroup,
  { waiting, round }: { waiting: Task[]; round: PlacementRound },
): void {
  const { candidates, options } = round;
  const { isGang, isSameRack } = group.step;
  if (isGang && waiting.length < group.tasks.length) return;
  if (isSameRack) {
    const inOneRack = chooseInOneRack(waiting, candidates, options);
    if (inOneRack !== undefined) return assignAll(inOneRack, round);
  }
  if (!isGang) return placeOneByOne(waiting, round);
  const anywhere = chooseTogether(waiting, candidates, options);
  const mayStart = anywhere !== undefined &&
    (!isSameRack || maySpreadGang(group, options.executors, options));
  if (mayStart) assignAll(anywhere, round);
  else round.reservations?.reserve(group, waiting);
}

/** Places as many tasks of one size as there is capacity for. */
function placeOneByOne(
  waiting: readonly Task[],
  round: PlacementRound,
): void {
  for (const task of waiting) {
    const candidate = chooseCandidate(task, round.candidates, round.options);
    if (candidate === undefined) {
      const left = waiting.slice(waiting.indexOf(task));
      return void round.reservations?.reserve(task.group, left);
    }
    assign(candidate, { task, round });
  }
}

function assignAll(choices: readonly Choice[], round: PlacementRound): void {
  for (const { task, candidate } of choices) assign(candidate, { task, round });
}

function assign(
  candidate: Candidate,
  { task, round }: { task: Task; round: PlacementRound },
): void {
  const { executor, free } = candidate;
  const freeCpu = Math.round(free.cpu);
  occupy(candidate, task);
  round.options.budget?.take(task.group.job, task.group.step.size);
  round.reservations?.addPlaced(task.group, candidate);
  const { length } = executor.isReserved ? round.lastResorts : round.candidates;
  const kind = executor.isReserved ? "reserved executors" : "executors";
  round.placements.push({
    task,
    executor,
    reason: `best of ${length} ${kind}, with ${freeCpu} mcpu free`,
  });
}
