import {
  DEFAULT_MAX_SHORTFALL_SHARE,
  requiredBuffer,
  TARGET_UTILISATION,
} from "@lagoonloom/decisions";
import type { MeasureRow } from "../measure_row.ts";
import {
  type CapacityTrace,
  createTrace,
  getMeanDemand,
  MEAN_REPAIR_H,
} from "./capacity_trace.ts";
import {
  CAPACITY_DEPLOYMENTS,
  type CapacityDeployment,
  FAILURES_PER_HOST_DAY,
} from "./deployments.ts";
import { computePoolBound } from "./move_bound.ts";
import { type MovePolicy, simulateMoves } from "./simulate_moves.ts";

const SEED = 17;

/** Time step of the bound and of the fixed percentage in seconds. */
const BOUND_STEP_S = 300;

/** Buffer of `baseline:fixed-percentage` as a share of each pool's need. */
const FIXED_BUFFER_SHARE = 0.2;

/** Largest number of pools for which `baseline:threshold` is simulated. */
const MAX_THRESHOLD_POOLS = 10;

/** Host seconds beyond the need, host seconds that were lacking, and moves. */
type BufferResult = { idleHostS: number; lackingHostS: number; moves: number };

/**
 * Measures idle hosts (`buffer-cost`), lacking hosts (`buffer-short`) and moves
 * of hosts between pools (`host-moves`) for each deployment and policy. Idle
 * time is the host time in service beyond the need of the pools, plus that of
 * the spare hosts kept ready; other hosts of the spare pool can run jobs and
 * cost nothing here.
 *
 * The bound knows demand and failures in advance. It has the cheapest number of
 * hosts over time in each pool, and the smallest constant number of spare hosts
 * that covers the failed ones except for the share of time that the chosen
 * buffer accepts too. Its moves are the larger of the number of hosts that join
 * pools and the number that leave them, as if each leaving host could join
 * another pool at once. No policy can need fewer moves, but the bound may be
 * out of reach, since a host may have to go through the spare pool in two
 * moves: with joins and leaves at different times counted as separate moves,
 * the bound was 74 instead of 40 on lakeshore and 1,006 instead of 747 on the
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
    const results: [string, BufferResult][] = [
      ["chosen", simulatePolicy(deployment, { trace, policy: "chosen" })],
      [
        "baseline:static-pools",
        simulatePolicy(deployment, { trace, policy: "static" }),
      ],
      ["baseline:fixed-percentage", computeFixedPercentage(deployment, trace)],
      ["bound", computeBound(deployment, trace)],
    ];
    // At the target scale, the simulation of this baseline would take minutes,
    // since it moves very many hosts.
    if (trace.pools.length <= MAX_THRESHOLD_POOLS) {
      const threshold = simulatePolicy(deployment, {
        trace,
        policy: "threshold",
      });
      results.splice(2, 0, ["baseline:threshold", threshold]);
    }
    return results.flatMap(([policy, { idleHostS, lackingHostS, moves }]) => {
      const row = { deployment: deployment.name, policy };
      const hours = (seconds: number) => Math.round(seconds / 360) / 10;
      const unit = "host h";
      return [
        { measure: "buffer-cost", ...row, value: hours(idleHostS), unit },
        { measure: "buffer-short", ...row, value: hours(lackingHostS), unit },
        { measure: "host-moves", ...row, value: moves, unit: "moves" },
      ];
    });
  });
}

type PolicyOptions = { trace: CapacityTrace; policy: MovePolicy };

function simulatePolicy(
  deployment: CapacityDeployment,
  { trace, policy }: PolicyOptions,
): BufferResult {
  const stepS = trace.pools.length > MAX_THRESHOLD_POOLS ? 60 : 10;
  const result = simulateMoves(deployment, { trace, policy, stepS });
  const spare = policy === "chosen"
    ? requiredBuffer({
      hosts: countHosts(deployment),
      failuresPerHostDay: FAILURES_PER_HOST_DAY,
      repairH: MEAN_REPAIR_H,
    }).hosts
    // The baselines keep the whole spare pool ready.
    : deployment.shape.pools[deployment.shape.sparePool] ?? 0;
  return { ...result, idleHostS: result.idleHostS + spare * trace.seconds };
}

function countHosts({ shape }: CapacityDeployment): number {
  return Object.values(shape.pools).reduce((sum, hosts) => sum + hosts, 0);
}

/** Returns the number of hosts that a pool's demand needs, as a fraction. */
function computeNeed(trace: CapacityTrace, pool: string, atS: number): number {
  return getMeanDemand(trace, pool, atS) / TARGET_UTILISATION;
}

/** Simulates pools that always have a fixed share above their known need. */
function computeFixedPercentage(
  { shape }: CapacityDeployment,
  trace: CapacityTrace,
): BufferResult {
  const result = { idleHostS: 0, lackingHostS: 0, moves: 0 };
  for (const pool of trace.pools) {
    let hosts = shape.pools[pool] ?? 0;
    for (let atS = 0; atS < trace.seconds; atS += BOUND_STEP_S) {
      const need = computeNeed(trace, pool, atS);
      const next = Math.ceil(need * (1 + FIXED_BUFFER_SHARE));
      result.moves += Math.abs(next - hosts) / 2;
      hosts = next;
      const failed = countFailedHosts(trace, pool, atS);
      result.idleHostS += Math.max(0, hosts - failed - need) * BOUND_STEP_S;
      result.lackingHostS += Math.max(0, need - hosts + failed) * BOUND_STEP_S;
    }
  }
  return { ...result, moves: Math.ceil(result.moves) };
}

/** Returns the number of failed hosts of a pool at a time. */
function countFailedHosts(
  trace: CapacityTrace,
  pool: string,
  atS: number,
): number {
  let failed = 0;
  for (const failure of trace.failures) {
    if (failure.pool === pool && failure.atS <= atS && atS < failure.untilS) {
      failed++;
    }
  }
  return failed;
}

function computeBound(
  deployment: CapacityDeployment,
  trace: CapacityTrace,
): BufferResult {
  const total = {
    idleHostS: 0,
    joining: [] as number[],
    leaving: [] as number[],
  };
  const failedOverall: number[] = [];
  for (const pool of trace.pools) {
    const failed: number[] = [];
    const fractionalNeed: number[] = [];
    for (let atS = 0; atS < trace.seconds; atS += BOUND_STEP_S) {
      failed.push(countFailedHosts(trace, pool, atS));
      fractionalNeed.push(computeNeed(trace, pool, atS));
    }
    for (const [step, count] of failed.entries()) {
      failedOverall[step] = (failedOverall[step] ?? 0) + count;
    }
    const needed = fractionalNeed.map((need, step) =>
      Math.ceil(need) + failed[step]!
    );
    const hosts = deployment.shape.pools[pool] ?? 0;
    const need = { needed, failed, fractionalNeed, hosts, stepS: BOUND_STEP_S };
    const best = computePoolBound(need);
    total.idleHostS += best.idleHostS;
    for (const side of ["joining", "leaving"] as const) {
      for (const [step, count] of best[side].entries()) {
        total[side][step] = (total[side][step] ?? 0) + count;
      }
    }
  }
  const spare = smallestBuffer(failedOverall);
  return {
    idleHostS: total.idleHostS + spare * trace.seconds,
    lackingHostS: 0,
    moves: Math.max(sum(total.joining), sum(total.leaving)),
  };
}

/** Returns the smallest number of hosts that covers failures in most steps. */
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
