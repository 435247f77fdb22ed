import { createEventQueue, runUntil, schedule } from "../event_queue.ts";
import type { MeasureRow } from "../measure_row.ts";
import { createRandom, type Random } from "../random.ts";
import {
  type Deployment,
  DEPLOYMENTS,
  SLOTS_PER_EXECUTOR,
} from "./deployment.ts";
import {
  type ClusterMember,
  type SlotCluster,
  startMember,
} from "./slot_cluster.ts";
import { listExecutors } from "./topologies.ts";

/** Number of runs, each with other faults. */
const RUNS = 5;

/** Length of a run in virtual time in milliseconds. */
const RUN_MS = 300_000;

/** Time between two faults in milliseconds. */
const FAULT_GAP_MS = 20_000;

/**
 * Measures by how many requests an executor of a data centre exceeds its slots
 * at most (`slot-excess`) while one entry host after the other is killed and
 * replaced, paused or partitioned from the network, and the share of slot time
 * in use (`slot-use`). Every entry host always has requests waiting. The
 * baseline takes over the slots of a lost entry host at once and does not check
 * before a send whether it may still use its slots. The bound of the excess is
 * 0, since no executor may get more requests than it has slots.
 *
 * @example
 * ```ts
 * const rows = measureSlotExcess();
 * ```
 */
export function measureSlotExcess(): MeasureRow[] {
  return DEPLOYMENTS.flatMap((deployment) => [
    ...measurePolicy(deployment, { policy: "chosen", isFencingEnabled: true }),
    ...measurePolicy(deployment, {
      policy: "baseline:immediate-take-over",
      isFencingEnabled: false,
    }),
    {
      measure: "slot-excess",
      deployment: deployment.name,
      policy: "bound",
      value: 0,
      unit: "slots",
    },
  ]);
}

function measurePolicy(
  deployment: Deployment,
  options: { policy: string; isFencingEnabled: boolean },
): MeasureRow[] {
  let maxExcess = 0;
  let useShare = 0;
  for (let run = 0; run < RUNS; run++) {
    const cluster = runCluster(deployment, {
      seed: 50 + run,
      isFencingEnabled: options.isFencingEnabled,
    });
    maxExcess = Math.max(maxExcess, cluster.maxInUse - SLOTS_PER_EXECUTOR);
    const slots = cluster.executors.length * SLOTS_PER_EXECUTOR;
    useShare += cluster.usedMs / (slots * RUN_MS) / RUNS;
  }
  const { policy } = options;
  const row = { deployment: deployment.name, policy };
  const rounded = Number(useShare.toFixed(4));
  return [
    {
      measure: "slot-excess",
      ...row,
      value: Math.max(0, maxExcess),
      unit: "slots",
    },
    { measure: "slot-use", ...row, value: rounded, unit: "ratio" },
  ];
}

function runCluster(
  deployment: Deployment,
  options: { seed: number; isFencingEnabled: boolean },
): SlotCluster {
  const cluster: SlotCluster = {
    events: createEventQueue(),
    random: createRandom(options.seed),
    isFencingEnabled: options.isFencingEnabled,
    executors: listExecutors(deployment)
      .filter((executor) => executor.dataCentre === 0)
      .map((executor) => executor.name),
    log: [],
    members: [],
    inUse: new Map(),
    maxInUse: 0,
    usedMs: 0,
  };
  const count = deployment.entryHosts / deployment.dataCentres;
  for (let index = 0; index < count; index++) {
    startMember(cluster, { name: `m${index}`, incarnation: `m${index}-1` });
  }
  const random = createRandom(options.seed + 1_000);
  for (let atMs = FAULT_GAP_MS; atMs < RUN_MS; atMs += FAULT_GAP_MS) {
    schedule(cluster.events, atMs, () => injectFault(cluster, random));
  }
  runUntil(cluster.events, RUN_MS);
  return cluster;
}

/** Kills and later replaces, pauses or partitions one entry host. */
function injectFault(cluster: SlotCluster, random: Random): void {
  const { events, members } = cluster;
  const member = members[Math.floor(random() * members.length)]!;
  if (member.state !== "running") return;
  const endMs = events.nowMs + 500 + random() * 18_000;
  const fault = Math.floor(random() * 3);
  if (fault === 0) {
    member.state = "ended";
    const { name } = member;
    const incarnation = `${name}-${events.nowMs}`;
    schedule(events, endMs, () => startMember(cluster, { name, incarnation }));
  } else if (fault === 1) {
    member.state = "paused";
    schedule(events, endMs, () => resume(member));
  } else {
    member.isPartitioned = true;
    schedule(events, endMs, () => {
      member.isPartitioned = false;
    });
  }
}

function resume(member: ClusterMember): void {
  if (member.state !== "paused") return;
  member.state = "running";
  for (const call of member.deferredCalls.splice(0)) call();
}
