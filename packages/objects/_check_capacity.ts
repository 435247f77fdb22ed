/**
 * Checks that need the number of hosts of each pool.
 *
 * @module
 */

import {
  type FleetIndex,
  type PoolIndex,
  poolOf,
  sortedEntries,
} from "./_fleet_index.ts";
import { minAvailableHosts } from "./min_available_hosts.ts";
import type { ObjectSet } from "./object_set.ts";
import type { Problem } from "./problem.ts";
import type { Wave } from "./wave.ts";

const SECONDS_PER_HOUR = 3_600;

/** Finds pools with fewer hosts than their minimum. */
export function checkPools(set: ObjectSet, index: FleetIndex) {
  const problems: Problem[] = [];
  for (const [name, pool] of sortedEntries(set.pools)) {
    const { hosts } = poolOf(index, name);
    if (hosts >= pool.min_hosts) continue;
    const message = `expected at most ${hosts}, the pool's number of hosts, ` +
      `found ${pool.min_hosts}`;
    problems.push({ kind: "pools", name, field: "min_hosts", message });
  }
  return problems;
}

/** Finds budgets that cannot be met even with all hosts in service. */
export function checkBudgets(set: ObjectSet, index: FleetIndex) {
  const problems: Problem[] = [];
  for (const [name, budget] of sortedEntries(set.budgets)) {
    const add = (field: string | undefined, message: string) =>
      problems.push({
        kind: "budgets",
        name,
        ...(field !== undefined && { field }),
        message,
      });
    const { min_available, min_available_percent } = budget;
    if (min_available === undefined && min_available_percent === undefined) {
      add(undefined, "expected min_available or min_available_percent");
    }
    if (!Object.hasOwn(set.services, budget.service)) continue;
    const { pool } = set.services[budget.service]!;
    if (!Object.hasOwn(set.pools, pool)) continue;
    const { hosts } = poolOf(index, pool);
    if (min_available !== undefined && min_available > hosts) {
      add(
        "min_available",
        `expected at most ${hosts}, the number of hosts of pool ${pool}, ` +
          `found ${min_available}`,
      );
    }
    if ((min_available_percent ?? 0) > 0 && hosts === 0) {
      add(
        "min_available_percent",
        `expected hosts in pool ${pool} to keep in service, found none`,
      );
    }
  }
  return problems;
}

/** Finds waves that cannot finish in time, or at all, within the budgets. */
export function checkWaves(set: ObjectSet, index: FleetIndex) {
  const problems: Problem[] = [];
  for (const [name, wave] of sortedEntries(set.waves)) {
    for (const pool of new Set(wave.pools)) {
      const problem = checkWavePool(wave, pool, poolOf(index, pool));
      if (problem !== undefined) {
        problems.push({ kind: "waves", name, ...problem });
      }
    }
  }
  return problems;
}

function checkWavePool(wave: Wave, name: string, pool: PoolIndex) {
  if (pool.hosts === 0) return undefined;
  const required = Math.max(
    0,
    ...pool.budgets.map((budget) => minAvailableHosts(budget, pool.hosts)),
  );
  // The check of the budgets reports this problem.
  if (required > pool.hosts) return undefined;
  if (required === pool.hosts) {
    const message = `expected a budget that lets a host of pool ${name} be ` +
      `out, found one that keeps all ${pool.hosts} in service`;
    return { field: "pools", message };
  }
  const batches = countBatches(pool, pool.hosts - required);
  const hours = batches * wave.outage_s / SECONDS_PER_HOUR;
  if (hours <= wave.finish_within_h) return undefined;
  const message = `expected at least ${Math.ceil(hours * 100) / 100}, since ` +
    `the budgets of pool ${name} let its ${pool.hosts} hosts be out in no ` +
    `fewer than ${batches} batches of ${wave.outage_s} s, ` +
    `found ${wave.finish_within_h}`;
  return { field: "finish_within_h", message };
}

/** Returns the fewest batches in which every host can be out once. */
function countBatches(pool: PoolIndex, maxOut: number) {
  const minBatches = (
    counts: Iterable<number>,
    limits: (number | undefined)[],
  ) => {
    const limit = Math.min(...limits.map((value) => value ?? Infinity));
    return Math.max(1, ...[...counts].map((n) => Math.ceil(n / limit)));
  };
  return Math.max(
    minBatches([pool.hosts], [maxOut]),
    minBatches(
      pool.racks.values(),
      pool.budgets.map((budget) => budget.max_out_per_rack),
    ),
    minBatches(
      pool.dataCentres.values(),
      pool.budgets.map((budget) => budget.max_out_per_data_centre),
    ),
  );
}
