/**
 * Parts of the faults of a soak test: what they draw, and how they wait.
 *
 * @module
 */

import type { CallFate, CallKind, ExecutorHost } from "./executor_hosts.ts";
import type { SoakWorld } from "./soak_world.ts";

/** Fault or planned change, which resolves once it is over. */
export type SoakFault = (world: SoakWorld) => Promise<void>;

/** Kinds of calls; undefined for all of them. */
export const KINDS: readonly (CallKind | undefined)[] = [
  undefined,
  "longPoll",
  "shortPoll",
  "start",
  "stop",
];

/** What happens to calls that are not answered. */
export const FATES: readonly CallFate[] = ["requestLost", "answerLost", "late"];

/** Least number of executors that stay up. */
const MIN_HOSTS_UP = 3;

/** Resolves after a time in milliseconds. */
export function sleep(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}

/** Picks one of some items. */
export function pick<Item>(
  { random }: SoakWorld,
  items: readonly Item[],
): Item {
  return items[Math.floor(random() * items.length)]!;
}

/** Returns the executors that run, are listed and do not drain. */
export function hostsUp({ hosts }: SoakWorld): ExecutorHost[] {
  return [...hosts.values()].filter(({ isUp, isListed, report }) =>
    isUp && isListed && !report.isDraining
  );
}

/** Picks an executor that is up, if there is one. */
export function pickHostUp(world: SoakWorld): ExecutorHost | undefined {
  const up = hostsUp(world);
  return up.length === 0 ? undefined : pick(world, up);
}

/** Picks an executor, unless too few would be left. */
export function pickHost(world: SoakWorld): ExecutorHost | undefined {
  const up = hostsUp(world);
  return up.length <= MIN_HOSTS_UP ? undefined : pick(world, up);
}
