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

/** Runs with different faults. */
const RUNS = 5;

const RUN_MS = 300_000;

/** Time between two faults in milliseconds. */
const FAULT_GAP_MS = 20_000;

/**
 * Measures the most slots in use over the limit at any executor of a data
 * centre (`slot-excess`) while one entry host after the other is killed and
 * replaced, paused or cut off, and the share of slot time in use (`slot-use`).
 * Every entry host always has requests waiting. The baseline takes lost slots
 * over at once and does not check its rights before a send. The bound of the
 * excess is 0 by definition.
 *
 * @example
 * ```ts
 * const rows = measureSlotExcess();
 * ```
 */
export function measureSlotExcess(): MeasureRow[] {
  return DEPLOYMENTS.flatMap((deployment) => [
    ...measurePolicy(deployment, { policy: "chosen", isFenced: true }),
    ...measurePolicy(deployment, {
      policy: "baseline:immediate-take-over",
      isFenced: false,
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
  options: { policy: string; isFenced: boolean },
): MeasureRow[] {
  let most = 0;
  let use = 0;
  for (let run = 0; run < RUNS; run++) {
    const cluster = runCluster(deployment, {
      seed: 50 + run,
      isFenced: options.isFenced,
    });
    most = Math.max(most, cluster.mostInUse - SLOTS_PER_EXECUTOR);
    const slots = cluster.executors.length * SLOTS_PER_EXECUTOR;
    use += cluster.usedMs / (slots * RUN_MS) / RUNS;
  }
  const { policy } = options;
  const row = { deployment: deployment.name, policy };
  const rounded = Number(use.toFixed(4));
  return [
    { measure: "slot-excess", ...row, value: Math.max(0, most), unit: "slots" },
    { measure: "slot-use", ...row, value: rounded, unit: "ratio" },
  ];
}

function runCluster(
  deployment: Deployment,
  options: { seed: number; isFenced: boolean },
): SlotCluster {
  const cluster: SlotCluster = {
    events: createEventQueue(),
    random: createRandom(options.seed),
    isFenced: options.isFenced,
    executors: listExecutors(deployment)
      .filter((executor) => executor.dataCentre === 0)
      .map((executor) => executor.name),
    log: [],
    members: [],
    inUse: new Map(),
    mostInUse: 0,
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

/** Kills and replaces, pauses or cuts off one entry host. */
function injectFault(cluster: SlotCluster, random: Random): void {
  const { events, members } = cluster;
  const member = members[Math.floor(random() * members.length)]!;
  if (member.state !== "running") return;
  const endMs = events.nowMs + 500 + random() * 18_000;
  const kind = Math.floor(random() * 3);
  if (kind === 0) {
    member.state = "ended";
    const { name } = member;
    const incarnation = `${name}-${events.nowMs}`;
    schedule(events, endMs, () => startMember(cluster, { name, incarnation }));
  } else if (kind === 1) {
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
  for (const call of member.paused.splice(0)) call();
}
