/**
 * Decision on a gang for one rack that has room on several racks only, where
 * it works more slowly.
 *
 * @module
 */

import type { ExecutorState } from "../executor_state.ts";
import type { TaskGroup } from "../job.ts";
import { chooseInOneRack } from "./_choose_together.ts";
import {
  type Candidate,
  type ChooseOptions,
  createCandidate,
} from "./choose_candidate.ts";

/** Time for which a gang waits for a rack once it has room on several ones. */
const MAX_RACK_WAIT_MS = 1_500;

/**
 * Returns whether a gang that has room on several racks only may start there:
 * at once if no rack could hold it, otherwise once it has had time to get one.
 * Silent, suspended and reserved executors may be used again soon, so that they
 * count as well.
 */
export function maySpreadGang(
  group: TaskGroup,
  executors: readonly ExecutorState[],
  { monotonicMs }: Pick<ChooseOptions, "monotonicMs">,
): boolean {
  const sinceMs = noteRoom(group, monotonicMs);
  if (monotonicMs - sinceMs >= MAX_RACK_WAIT_MS) return true;
  const emptyCandidates = executors
    .filter(({ isRemoved, report }) => !isRemoved && !report.isDraining)
    .map(createEmptyCandidate);
  // Tickets that are not known yet may allow any of these executors.
  const options: ChooseOptions = { monotonicMs };
  return chooseInOneRack(group.tasks, emptyCandidates, options) === undefined;
}

/** Notes that a gang has room, and returns since when it has had some. */
function noteRoom(group: TaskGroup, monotonicMs: number): number {
  const waitingSinceMs = Math.max(
    ...group.tasks.map((task) => task.waitingSinceMs),
  );
  const { spreadableSinceMs } = group;
  if (spreadableSinceMs !== undefined && spreadableSinceMs >= waitingSinceMs) {
    return spreadableSinceMs;
  }
  // A time before the end of the last run does not count for the next one.
  group.spreadableSinceMs = monotonicMs;
  return monotonicMs;
}

function createEmptyCandidate(executor: ExecutorState): Candidate {
  const free = { ...executor.report.capacity };
  return { ...createCandidate(executor), free };
}
