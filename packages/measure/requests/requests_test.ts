import { describe, expect, test } from "@jest/globals";
import {
  createFloodDemand,
  createRotatingDemand,
  drawArrivals,
  FLOOD_START_MS,
} from "./demand.ts";
import { countSlots, DEPLOYMENTS, NYABARONGO } from "./deployment.ts";
import { CHOSEN, FIXED_SHARES, type Policy, SHARED_FIFO } from "./policy.ts";
import { simulateFlood } from "./simulate_flood.ts";
import {
  createSlotOwnerLookup,
  createTopology,
  listExecutors,
} from "./topologies.ts";

const END_MS = 7_000;

/** Simulates the first seconds with and without an urgent flood. */
function runFlood(policy: Policy) {
  const deployment = NYABARONGO;
  const members = deployment.entryHosts;
  const draw = (flood: "none" | "urgent", seed: number) =>
    drawArrivals(
      flood === "none"
        ? createRotatingDemand(deployment)
        : createFloodDemand(deployment, flood),
      { seed, members },
    ).filter((arrival) => arrival.atMs < END_MS);
  const baseArrivals = draw("none", 1);
  const arrivals = [...baseArrivals, ...draw("urgent", 2)]
    .sort((a, b) => a.atMs - b.atMs);
  const { withFlood, kept } = simulateFlood(deployment, {
    policy,
    baseArrivals,
    arrivals,
  });
  return { kept, result: withFlood, arrivals };
}

describe("simulateRequests", () => {
  // Guards against scheduling in which a flood takes capacity from other desks,
  // and against a simulation that does not show this for the shared queue.
  test.each([
    [CHOSEN, 0.98, 1],
    [FIXED_SHARES, 0.98, 1],
    [SHARED_FIFO, 0, 0.9],
  ])(
    "keeps as much goodput of other desks during a flood as the policy allows",
    (policy, minKept, maxKept) => {
      const { kept } = runFlood(policy);
      expect(kept).toBeGreaterThanOrEqual(minKept);
      expect(kept).toBeLessThanOrEqual(maxKept);
    },
  );

  // Guards against requests that the simulation loses, and against slots that
  // two requests use at the same time.
  test("answers each request once, with the same result on every run", () => {
    const { result, arrivals } = runFlood(CHOSEN);
    const answered = result.answeredInTime.size + result.late + result.refused;
    expect(answered).toBe(arrivals.length);
    const changes = result.uses.flatMap(({ fromMs, toMs }) => [
      { atMs: fromMs, change: 1 },
      { atMs: toMs, change: -1 },
    ]).sort((a, b) => a.atMs - b.atMs || a.change - b.change);
    let inUse = 0;
    let maxInUse = 0;
    for (const { change } of changes) {
      inUse += change;
      maxInUse = Math.max(maxInUse, inUse);
    }
    expect(maxInUse).toBeLessThanOrEqual(countSlots(NYABARONGO));
    expect(runFlood(CHOSEN).result).toEqual(result);
  });
});

describe("simulated deployments", () => {
  // Guards against simulated slots that have two owners or none.
  test.each(DEPLOYMENTS)("give each slot one owner in $name", (deployment) => {
    const findOwner = createSlotOwnerLookup(deployment);
    let slots = 0;
    for (let member = 0; member < deployment.entryHosts; member++) {
      const options = { member, findOwner, mayBorrow: true };
      for (const pool of createTopology(deployment, options).pools) {
        for (const host of pool.hosts) slots += host.slots.length;
      }
    }
    expect(slots).toBe(countSlots(deployment));
    expect(listExecutors(deployment)).toHaveLength(35);
  });

  // Guards against a flood that leaves slots free, which would hide its
  // effects.
  test.each(DEPLOYMENTS)(
    "create a flood that exceeds all slots of $name",
    (deployment) => {
      const [flood] = createFloodDemand(deployment, "urgent");
      expect(flood!.fromMs).toBe(FLOOD_START_MS);
      expect(flood!.ratePerMs * flood!.desk.runTimeMs)
        .toBeGreaterThan(countSlots(deployment));
    },
  );
});
