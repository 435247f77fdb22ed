import { describe, expect, test } from "@jest/globals";
import {
  addFlood,
  drawArrivals,
  FLOOD_FROM_MS,
  rotateDemand,
} from "./demand.ts";
import { countSlots, DEPLOYMENTS, NYABARONGO } from "./deployment.ts";
import { computeKept } from "./measure_flood.ts";
import { CHOSEN, FIXED_SHARES, type Policy, SHARED_FIFO } from "./policy.ts";
import { simulateRequests } from "./simulate_requests.ts";
import { createTopology, listExecutors, spreadSlots } from "./topologies.ts";

const END_MS = 7_000;

/** Runs the first seconds of the trace with and without an urgent flood. */
function runFlood(policy: Policy) {
  const deployment = NYABARONGO;
  const members = deployment.entryHosts;
  const draw = (flood: "none" | "urgent", seed: number) =>
    drawArrivals(
      flood === "none" ? rotateDemand(deployment) : addFlood(deployment, flood),
      { seed, members },
    ).filter((arrival) => arrival.atMs < END_MS);
  const base = draw("none", 1);
  const arrivals = [...base, ...draw("urgent", 2)]
    .sort((a, b) => a.atMs - b.atMs);
  const quiet = simulateRequests({ deployment, policy, arrivals: base });
  const result = simulateRequests({ deployment, policy, arrivals });
  const kept = computeKept(deployment, { base, quiet, result });
  return { kept, result, arrivals };
}

describe("simulateRequests", () => {
  // Guards against scheduling that lets a flood take from other desks, and
  // against a rig that would not show it.
  test.each([
    [CHOSEN, 0.98, 1],
    [FIXED_SHARES, 0.98, 1],
    [SHARED_FIFO, 0, 0.9],
  ])("keeps the service of other desks in a flood", (policy, low, high) => {
    const { kept } = runFlood(policy);
    expect(kept).toBeGreaterThanOrEqual(low);
    expect(kept).toBeLessThanOrEqual(high);
  });

  // Guards against requests that the rig loses, and slots used twice.
  test("answers each request once and repeats exactly", () => {
    const { result, arrivals } = runFlood(CHOSEN);
    const answered = result.good.size + result.late + result.refused;
    expect(answered).toBe(arrivals.length);
    const ends = result.uses.flatMap(({ fromMs, toMs }) => [
      { atMs: fromMs, change: 1 },
      { atMs: toMs, change: -1 },
    ]).sort((a, b) => a.atMs - b.atMs || a.change - b.change);
    let inUse = 0;
    let most = 0;
    for (const { change } of ends) {
      inUse += change;
      most = Math.max(most, inUse);
    }
    expect(most).toBeLessThanOrEqual(countSlots(NYABARONGO));
    expect(runFlood(CHOSEN).result).toEqual(result);
  });
});

describe("deployments of the measures", () => {
  // Guards against slots with two owners or none in the rig.
  test.each(DEPLOYMENTS)("give each slot one owner in $name", (deployment) => {
    const owner = spreadSlots(deployment);
    let slots = 0;
    for (let member = 0; member < deployment.entryHosts; member++) {
      const options = { member, owner, isLending: true };
      for (const pool of createTopology(deployment, options).pools) {
        for (const host of pool.hosts) slots += host.slots.length;
      }
    }
    expect(slots).toBe(countSlots(deployment));
    expect(listExecutors(deployment)).toHaveLength(35);
  });

  // Guards against a flood that is too small to fill the slots.
  test.each(DEPLOYMENTS)("flood all slots of $name", (deployment) => {
    const [flood] = addFlood(deployment, "urgent");
    expect(flood!.fromMs).toBe(FLOOD_FROM_MS);
    expect(flood!.ratePerMs * flood!.desk.runTimeMs)
      .toBeGreaterThan(countSlots(deployment));
  });
});
