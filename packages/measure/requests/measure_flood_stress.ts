import type { MeasureRow } from "../measure_row.ts";
import {
  type Arrival,
  createFloodDemand,
  createRotatingDemand,
  drawArrivals,
} from "./demand.ts";
import { type Deployment, DEPLOYMENTS } from "./deployment.ts";
import { CHOSEN, SHARED_FIFO } from "./policy.ts";
import { simulateFlood } from "./simulate_flood.ts";
import type { RunResult } from "./simulate_requests.ts";

/** Conditions that are harder than those of the deployments. */
type Stress = {
  name: string;
  /** Run times of the flood's requests relative to the declared ones. */
  floodRunTimeFactor?: number;
  /** Declared run times of all desks relative to the real ones. */
  declaredRunTimeFactor?: number;
  /** Time to the deadline relative to the mean run time. */
  deadlineFactor?: number;
  /** Number of entry hosts that the callers of a desk reach. */
  reachedEntryHosts?: number;
  /** Demand of the queues relative to the usual one. */
  loadFactor?: number;
};

const STRESSES: readonly Stress[] = [
  { name: "few-callers", reachedEntryHosts: 3 },
  { name: "short-deadlines", deadlineFactor: 3 },
  { name: "long-runs", floodRunTimeFactor: 5 },
  { name: "peak-of-3-pools", loadFactor: 1.5 },
  { name: "declared-20th", declaredRunTimeFactor: 1 / 20 },
  { name: "declared-5-fold", declaredRunTimeFactor: 5 },
];

/**
 * Measures `flood-kept` of an urgent flood under harder conditions than those
 * of the deployments: the callers of each desk reach only 3 entry hosts, the
 * deadlines are 3 mean run times, the flood's requests run 5 times as long as
 * declared, queues peak at 3 times the capacity of their pool, or the declared
 * run times of all desks are a 20th of the real ones or 5 times as long. With
 * peaks of 3, the desk of the largest pool needs nearly all slots that the
 * flooding desk does not own. The values of `few-callers` vary by 0.01 to 0.02
 * with the seed. `flood-in-time` is the share of the flooding desk's started
 * requests that are answered within their deadline.
 */
export function measureFloodStress(): MeasureRow[] {
  return DEPLOYMENTS.flatMap((deployment) =>
    STRESSES.flatMap((stress) => measureStress(deployment, stress))
  );
}

function measureStress(original: Deployment, stress: Stress): MeasureRow[] {
  const deployment = {
    ...original,
    desks: original.desks.map((desk) => ({
      ...desk,
      declaredRunTimeMs: desk.runTimeMs * (stress.declaredRunTimeFactor ?? 1),
      deadlineMs: stress.deadlineFactor === undefined
        ? desk.deadlineMs
        : desk.runTimeMs * stress.deadlineFactor,
    })),
  };
  const members = deployment.entryHosts;
  const periods = createRotatingDemand(deployment).map((period) => ({
    ...period,
    ratePerMs: period.ratePerMs * (stress.loadFactor ?? 1),
  }));
  const baseArrivals = drawArrivals(periods, { seed: 1, members })
    .map((arrival) => restrictEntryHosts(deployment, stress, arrival));
  const flood = drawArrivals(createFloodDemand(deployment, "urgent"), {
    seed: 2,
    members,
  }).map((arrival) => ({
    ...arrival,
    runMs: arrival.runMs * (stress.floodRunTimeFactor ?? 1),
  }));
  const arrivals = [...baseArrivals, ...flood].sort((a, b) => a.atMs - b.atMs);
  return [CHOSEN, SHARED_FIFO].flatMap((policy) => {
    const { withFlood, kept } = simulateFlood(deployment, {
      policy,
      baseArrivals,
      arrivals,
    });
    const shareInTime = computeShareInTime(deployment, {
      arrivals,
      result: withFlood,
    });
    const row = (measure: string, value: number): MeasureRow => ({
      measure: `${measure}-${stress.name}`,
      deployment: deployment.name,
      policy: policy.name,
      value: Number(value.toFixed(4)),
      unit: "ratio",
    });
    return [row("flood-kept", kept), row("flood-in-time", shareInTime)];
  });
}

/** Returns the share of the flood's started requests answered in time. */
function computeShareInTime(
  deployment: Deployment,
  run: { arrivals: readonly Arrival[]; result: RunResult },
): number {
  const isFlooding = ({ service }: { service: string }) =>
    service === deployment.floodingDesk;
  const started = run.result.uses.filter(isFlooding).length;
  const inTime =
    run.arrivals.filter((arrival) =>
      isFlooding(arrival) && run.result.answeredInTime.has(arrival.id)
    ).length;
  return inTime / started;
}

/** Sends a request to one of the entry hosts that its callers reach. */
function restrictEntryHosts(
  deployment: Deployment,
  stress: Stress,
  arrival: Arrival,
): Arrival {
  if (stress.reachedEntryHosts === undefined) return arrival;
  const { desks, entryHosts } = deployment;
  const first = desks.findIndex(({ name }) => name === arrival.service) * 2;
  const step = entryHosts / stress.reachedEntryHosts + 1;
  const member = (first + (arrival.member % stress.reachedEntryHosts) * step) %
    entryHosts;
  return { ...arrival, member };
}
