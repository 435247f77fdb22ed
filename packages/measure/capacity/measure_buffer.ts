import {
  DEFAULT_MAX_SHORTFALL_SHARE,
  requiredBuffer,
  TARGET_UTILISATION,
} from "@lagoonloom/decisions";
import type { MeasureRow } from "../measure_row.ts";
import {
  type CapacityTrace,
  createTrace,
  MEAN_REPAIR_H,
  meanAt,
} from "./capacity_trace.ts";
import {
  CAPACITY_DEPLOYMENTS,
  type CapacityDeployment,
  FAILURES_PER_HOST_DAY,
} from "./deployments.ts";
import { boundPool } from "./move_bound.ts";
import { type MovePolicy, simulateMoves } from "./simulate_moves.ts";

const SEED = 17;

/** Step of the bound in seconds. */
const BOUND_STEP_S = 300;

/** Buffer of the baseline in each pool, as a share of its need. */
const FIXED_SHARE = 0.2;

/** Most pools for which the baseline with a threshold is simulated. */
const MAX_THRESHOLD_POOLS = 10;

type Result = { idleS: number; shortS: number; moves: number };

/**
 * Measures the buffer and the moves of a deployment. Idle time is host seconds
 * in service beyond the need of the pools, plus the spare hosts kept ready;
 * other hosts of the spare pool are free for jobs and cost nothing here. The
 * bound knows the trace: for each pool the cheapest number of hosts over time,
 * and the smallest constant number of spare hosts that covers the failed ones
 * except for the same share of time as the chosen buffer accepts. Its moves are
 * the larger of all joins and all leaves of pools, as if every leaving host met
 * a pool that it joins. No policy can be below that, but with a spare pool
 * between two moves it may be out of reach: counting moves at different times
 * as two gave 74 instead of 40 on lakeshore and 1,006 instead of 747 on the
 * two-year fleet.
 *
 * @example
 * ```ts
 * const rows = measureBuffer();
 * ```
 */
export function measureBuffer(
  deployments: readonly CapacityDeployment[] = CAPACITY_DEPLOYMENTS,
): MeasureRow[] {
  return deployments.flatMap((deployment) => {
    const trace = createTrace(deployment, SEED);
    const results: [string, Result][] = [
      ["chosen", run(deployment, { trace, policy: "chosen" })],
      ["baseline:static-pools", run(deployment, { trace, policy: "static" })],
      ["baseline:fixed-percentage", fixedPercentage(deployment, trace)],
      ["bound", bound(deployment, trace)],
    ];
    // At the target scale this baseline moves so many hosts that its simulation
    // takes minutes; it is run for the current deployments only.
    if (trace.pools.length <= MAX_THRESHOLD_POOLS) {
      const threshold = run(deployment, { trace, policy: "threshold" });
      results.splice(2, 0, ["baseline:threshold", threshold]);
    }
    return results.flatMap(([policy, { idleS, shortS, moves }]) => {
      const row = { deployment: deployment.name, policy };
      const hours = (seconds: number) => Math.round(seconds / 360) / 10;
      const unit = "host h";
      return [
        { measure: "buffer-cost", ...row, value: hours(idleS), unit },
        { measure: "buffer-short", ...row, value: hours(shortS), unit },
        { measure: "host-moves", ...row, value: moves, unit: "moves" },
      ];
    });
  });
}

type RunOptions = { trace: CapacityTrace; policy: MovePolicy };

function run(
  deployment: CapacityDeployment,
  { trace, policy }: RunOptions,
): Result {
  const stepS = trace.pools.length > MAX_THRESHOLD_POOLS ? 60 : 10;
  const result = simulateMoves(deployment, { trace, policy, stepS });
  const spare = policy === "chosen"
    ? requiredBuffer({
      hosts: countHosts(deployment),
      failuresPerHostDay: FAILURES_PER_HOST_DAY,
      repairH: MEAN_REPAIR_H,
    }).hosts
    // The other policies keep the whole spare pool.
    : deployment.shape.pools[deployment.shape.sparePool] ?? 0;
  return { ...result, idleS: result.idleS + spare * trace.seconds };
}

function countHosts({ shape }: CapacityDeployment): number {
  return Object.values(shape.pools).reduce((sum, hosts) => sum + hosts, 0);
}

/** Need in hosts, without the count budgets that these fleets do not have. */
function needAt(trace: CapacityTrace, pool: string, atS: number): number {
  return meanAt(trace, pool, atS) / TARGET_UTILISATION;
}

/** A fixed share above the need of each pool, with full knowledge of it. */
function fixedPercentage(
  { shape }: CapacityDeployment,
  trace: CapacityTrace,
): Result {
  const result = { idleS: 0, shortS: 0, moves: 0 };
  for (const pool of trace.pools) {
    let hosts = shape.pools[pool] ?? 0;
    for (let atS = 0; atS < trace.seconds; atS += BOUND_STEP_S) {
      const need = needAt(trace, pool, atS);
      const next = Math.ceil(need * (1 + FIXED_SHARE));
      result.moves += Math.abs(next - hosts) / 2;
      hosts = next;
      const failed = failedAt(trace, pool, atS);
      result.idleS += Math.max(0, hosts - failed - need) * BOUND_STEP_S;
      result.shortS += Math.max(0, need - hosts + failed) * BOUND_STEP_S;
    }
  }
  return { ...result, moves: Math.ceil(result.moves) };
}

function failedAt(trace: CapacityTrace, pool: string, atS: number): number {
  let failed = 0;
  for (const failure of trace.failures) {
    if (failure.pool === pool && failure.atS <= atS && atS < failure.untilS) {
      failed++;
    }
  }
  return failed;
}

function bound(
  deployment: CapacityDeployment,
  trace: CapacityTrace,
): Result {
  const total = { idleS: 0, in: [] as number[], out: [] as number[] };
  const failedOverall: number[] = [];
  for (const pool of trace.pools) {
    const failed: number[] = [];
    const exact: number[] = [];
    for (let atS = 0; atS < trace.seconds; atS += BOUND_STEP_S) {
      failed.push(failedAt(trace, pool, atS));
      exact.push(needAt(trace, pool, atS));
    }
    for (const [step, count] of failed.entries()) {
      failedOverall[step] = (failedOverall[step] ?? 0) + count;
    }
    const needed = exact.map((need, step) => Math.ceil(need) + failed[step]!);
    const hosts = deployment.shape.pools[pool] ?? 0;
    const need = { needed, failed, exact, hosts, stepS: BOUND_STEP_S };
    const best = boundPool(need);
    total.idleS += best.idleS;
    for (const side of ["in", "out"] as const) {
      for (const [step, count] of best[side].entries()) {
        total[side][step] = (total[side][step] ?? 0) + count;
      }
    }
  }
  const spare = smallestBuffer(failedOverall);
  return {
    idleS: total.idleS + spare * trace.seconds,
    shortS: 0,
    moves: Math.max(sum(total.in), sum(total.out)),
  };
}

/** Smallest number of hosts that covers the failures of most steps. */
function smallestBuffer(failed: readonly number[]): number {
  let spare = 0;
  while (
    failed.filter((count) => count > spare).length >
      failed.length * DEFAULT_MAX_SHORTFALL_SHARE
  ) spare++;
  return spare;
}

function sum(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0);
}
