import { planWave } from "@lagoonloom/decisions";
import {
  createFleetModel,
  createFleetSet,
  type FleetModel,
  stepFleet,
} from "@lagoonloom/standins/fleet";
import type { MeasureRow } from "../measure_row.ts";
import { createRandom } from "../random.ts";
import {
  CAPACITY_DEPLOYMENTS,
  type CapacityDeployment,
  createDeciders,
} from "./deployments.ts";
import { computeMaxHostsOut } from "./max_hosts_out.ts";

const SEED = 11;

/** Time until a host has no more requests. */
const DRAIN_MS = 20_000;

/** Declared outage of a host in the wave. */
const OUTAGE_S = 300;

/** Share of a pool in each batch of `baseline:fixed-percentage`. */
const BATCH_SHARE = 0.1;

/**
 * Measures the time of a wave over all hosts, without failures. For the bound,
 * the times to drain and restart each host of a pool are added up and divided
 * by the largest number of hosts that its budgets allow to be out together; the
 * slowest pool counts.
 *
 * @example
 * ```ts
 * const rows = measureRollout();
 * ```
 */
export function measureRollout(): MeasureRow[] {
  return CAPACITY_DEPLOYMENTS.flatMap((deployment) => {
    const outageTimes = createOutageTimes(deployment);
    const rows: [string, number][] = [
      ["chosen", simulateWave(deployment, outageTimes)],
      ["baseline:one-at-a-time", sum([...outageTimes.values()])],
      [
        "baseline:fixed-percentage",
        computeFixedPercentage(deployment, outageTimes),
      ],
      ["bound", computeRolloutBound(deployment, outageTimes)],
    ];
    return rows.map(([policy, seconds]) => ({
      measure: "rollout-time",
      deployment: deployment.name,
      policy,
      value: Math.round(seconds),
      unit: "s",
    }));
  });
}

/**
 * Draws the time in seconds that each host is out. A restart takes 0.7 to 1.3
 * times the declared outage.
 */
function createOutageTimes({ shape }: CapacityDeployment): Map<string, number> {
  const random = createRandom(SEED);
  const names = Object.keys(createFleetSet(shape).hosts);
  return new Map(names.map((name) => {
    const restartS = Math.round(OUTAGE_S * (0.7 + 0.6 * random()));
    return [name, DRAIN_MS / 1_000 + restartS];
  }));
}

/** Returns the time of the simulated wave in seconds. */
function simulateWave(
  { shape, stepMs }: CapacityDeployment,
  outageTimes: Map<string, number>,
): number {
  const waves = { all: { outage_s: OUTAGE_S } };
  const set = createFleetSet({ ...shape, waves });
  const model: FleetModel = createFleetModel({
    set,
    drainMs: DRAIN_MS,
    restartMs: (host) => 1_000 * (outageTimes.get(host) ?? 0) - DRAIN_MS,
    daemons: createDeciders(shape),
    planner: (state, { term, nowMs, observations }) =>
      planWave(state, observations, { term, nowMs }),
  });
  let startedAtMs: number | undefined;
  while (model.referenceState.waves.get("all")?.state !== "finished") {
    stepFleet(model, { stepMs });
    if (model.referenceState.waves.has("all")) startedAtMs ??= model.nowMs;
    if (model.nowMs > 1e8) return Infinity;
  }
  return (model.nowMs - (startedAtMs ?? 0)) / 1_000;
}

function groupByPool(
  { shape }: CapacityDeployment,
  outageTimes: Map<string, number>,
): Map<string, number[]> {
  const pools = new Map<string, number[]>();
  for (const [name, { pool }] of Object.entries(createFleetSet(shape).hosts)) {
    const poolTimes = pools.get(pool) ?? [];
    poolTimes.push(outageTimes.get(name) ?? 0);
    pools.set(pool, poolTimes);
  }
  return pools;
}

/**
 * Returns the time of a wave that takes out a tenth of each pool at a time and
 * waits for the slowest host of this batch.
 */
function computeFixedPercentage(
  deployment: CapacityDeployment,
  outageTimes: Map<string, number>,
): number {
  let longest = 0;
  for (const seconds of groupByPool(deployment, outageTimes).values()) {
    const size = Math.max(1, Math.floor(seconds.length * BATCH_SHARE));
    let total = 0;
    for (let start = 0; start < seconds.length; start += size) {
      total += Math.max(...seconds.slice(start, start + size));
    }
    longest = Math.max(longest, total);
  }
  return longest;
}

function computeRolloutBound(
  deployment: CapacityDeployment,
  outageTimes: Map<string, number>,
): number {
  let longest = 0;
  for (const [pool, seconds] of groupByPool(deployment, outageTimes)) {
    const maxHostsOut = computeMaxHostsOut(
      createFleetSet(deployment.shape),
      pool,
    );
    longest = Math.max(longest, sum(seconds) / maxHostsOut, ...seconds);
  }
  return longest;
}

function sum(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0);
}
