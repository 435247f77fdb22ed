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
import { mostHostsOut } from "./most_hosts_out.ts";

const SEED = 11;
const DRAIN_MS = 20_000;
const OUTAGE_S = 300;

/** Share of a pool per batch of the baseline with a fixed percentage. */
const FIXED_SHARE = 0.1;

/**
 * Measures the time of a wave over every host, without failures. The bound is
 * the longest pool's work (drain and restart of each host, known in advance)
 * divided by the most hosts that its budgets ever let out together.
 *
 * @example
 * ```ts
 * const rows = measureRollout();
 * ```
 */
export function measureRollout(): MeasureRow[] {
  return CAPACITY_DEPLOYMENTS.flatMap((deployment) => {
    const times = createOutTimes(deployment);
    const rows: [string, number][] = [
      ["chosen", runWave(deployment, times)],
      ["baseline:one-at-a-time", sum([...times.values()])],
      ["baseline:fixed-percentage", runFixedPercentage(deployment, times)],
      ["bound", rolloutBound(deployment, times)],
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

/** Time in seconds that each host is out, with restarts of 0.7 to 1.3 times. */
function createOutTimes({ shape }: CapacityDeployment): Map<string, number> {
  const random = createRandom(SEED);
  const names = Object.keys(createFleetSet(shape).hosts);
  return new Map(names.map((name) => {
    const restartS = Math.round(OUTAGE_S * (0.7 + 0.6 * random()));
    return [name, DRAIN_MS / 1_000 + restartS];
  }));
}

function runWave(
  { shape, stepMs }: CapacityDeployment,
  times: Map<string, number>,
): number {
  const waves = { all: { outage_s: OUTAGE_S } };
  const set = createFleetSet({ ...shape, waves });
  const model: FleetModel = createFleetModel({
    set,
    drainMs: DRAIN_MS,
    restartMs: (host) => 1_000 * (times.get(host) ?? 0) - DRAIN_MS,
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

function byPool(
  { shape }: CapacityDeployment,
  times: Map<string, number>,
): Map<string, number[]> {
  const pools = new Map<string, number[]>();
  for (const [name, { pool }] of Object.entries(createFleetSet(shape).hosts)) {
    const known = pools.get(pool) ?? [];
    known.push(times.get(name) ?? 0);
    pools.set(pool, known);
  }
  return pools;
}

/** Batches of a tenth of each pool; a batch ends with its slowest host. */
function runFixedPercentage(
  deployment: CapacityDeployment,
  times: Map<string, number>,
): number {
  let longest = 0;
  for (const seconds of byPool(deployment, times).values()) {
    const size = Math.max(1, Math.floor(seconds.length * FIXED_SHARE));
    let total = 0;
    for (let start = 0; start < seconds.length; start += size) {
      total += Math.max(...seconds.slice(start, start + size));
    }
    longest = Math.max(longest, total);
  }
  return longest;
}

function rolloutBound(
  deployment: CapacityDeployment,
  times: Map<string, number>,
): number {
  let longest = 0;
  for (const [pool, seconds] of byPool(deployment, times)) {
    const width = mostHostsOut(createFleetSet(deployment.shape), pool);
    longest = Math.max(longest, sum(seconds) / width, ...seconds);
  }
  return longest;
}

function sum(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0);
}
