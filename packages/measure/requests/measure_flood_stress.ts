import type { MeasureRow } from "../measure_row.ts";
import {
  addFlood,
  type Arrival,
  drawArrivals,
  rotateDemand,
} from "./demand.ts";
import { type Deployment, DEPLOYMENTS } from "./deployment.ts";
import { computeKept } from "./measure_flood.ts";
import { CHOSEN, SHARED_FIFO } from "./policy.ts";
import { type RunResult, simulateRequests } from "./simulate_requests.ts";

/** Harder circumstances of an urgent flood. */
type Stress = {
  name: string;
  /** Run times of the flood relative to the declared ones. */
  floodRunTime?: number;
  /** Declared run times of all desks relative to the real ones. */
  declared?: number;
  /** Deadlines relative to the mean run time. */
  deadline?: number;
  /** Entry hosts that the callers of a desk reach. */
  reached?: number;
  /** Demand of the queues relative to the usual one. */
  load?: number;
};

const STRESSES: readonly Stress[] = [
  { name: "few-callers", reached: 3 },
  { name: "short-deadlines", deadline: 3 },
  { name: "long-runs", floodRunTime: 5 },
  { name: "peak-of-3-pools", load: 1.5 },
  { name: "declared-20th", declared: 1 / 20 },
  { name: "declared-5-fold", declared: 5 },
];

/**
 * Measures `flood-kept` of an urgent flood in harder circumstances than those
 * of the deployments: the callers of each desk reach only 3 entry hosts, the
 * deadlines are 3 mean run times, the flood runs 5 times as long as declared,
 * queues peak at 3 times what their pool serves, or the declared run times of
 * all desks are a 20th of the real ones or 5 times as long. With peaks of 3 the
 * desk of the largest pool needs nearly all slots that the flooding desk does
 * not own. The values of few-callers vary by 0.01 to 0.02 with the seed.
 * `flood-in-time` is the share of the started requests of the flooding desk
 * that are answered within their deadline.
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
      declaredRunTimeMs: desk.runTimeMs * (stress.declared ?? 1),
      deadlineMs: stress.deadline === undefined
        ? desk.deadlineMs
        : desk.runTimeMs * stress.deadline,
    })),
  };
  const members = deployment.entryHosts;
  const demands = rotateDemand(deployment).map((demand) => ({
    ...demand,
    ratePerMs: demand.ratePerMs * (stress.load ?? 1),
  }));
  const base = drawArrivals(demands, { seed: 1, members })
    .map((arrival) => restrictCallers(deployment, stress, arrival));
  const flood = drawArrivals(addFlood(deployment, "urgent"), {
    seed: 2,
    members,
  }).map((arrival) => ({
    ...arrival,
    runMs: arrival.runMs * (stress.floodRunTime ?? 1),
  }));
  const arrivals = [...base, ...flood].sort((a, b) => a.atMs - b.atMs);
  return [CHOSEN, SHARED_FIFO].flatMap((policy) => {
    const quiet = simulateRequests({ deployment, policy, arrivals: base });
    const result = simulateRequests({ deployment, policy, arrivals });
    const kept = computeKept(deployment, { base, quiet, result });
    const inTime = computeInTime(deployment, { arrivals, result });
    const row = (measure: string, value: number): MeasureRow => ({
      measure: `${measure}-${stress.name}`,
      deployment: deployment.name,
      policy: policy.name,
      value: Number(value.toFixed(4)),
      unit: "ratio",
    });
    return [row("flood-kept", kept), row("flood-in-time", inTime)];
  });
}

/** Share of the started requests of the flooding desk that end in time. */
function computeInTime(
  deployment: Deployment,
  run: { arrivals: readonly Arrival[]; result: RunResult },
): number {
  const isOwn = ({ service }: { service: string }) =>
    service === deployment.flooding;
  const started = run.result.uses.filter(isOwn).length;
  const good =
    run.arrivals.filter((arrival) =>
      isOwn(arrival) && run.result.good.has(arrival.id)
    ).length;
  return good / started;
}

/** Maps the entry host of a request to one of those its desk reaches. */
function restrictCallers(
  deployment: Deployment,
  stress: Stress,
  arrival: Arrival,
): Arrival {
  if (stress.reached === undefined) return arrival;
  const { desks, entryHosts } = deployment;
  const first = desks.findIndex(({ name }) => name === arrival.service) * 2;
  const step = entryHosts / stress.reached + 1;
  const member = (first + (arrival.member % stress.reached) * step) %
    entryHosts;
  return { ...arrival, member };
}
