import { describe, expect, test } from "@jest/globals";
import { stepFleet } from "@lagoonloom/standins/fleet";
import { createWaveModel } from "./_fixtures.ts";
import type { Shortage } from "./mod.ts";

/** Time in milliseconds of each of the two floods. */
const FLOOD_MS = 120_000;

type Flood = { first: string; then: string };

/** Demand in hosts and the pools that lack hosts at a time of a flood. */
function demandAt(nowMs: number, { first, then }: Flood) {
  const flooded = nowMs < FLOOD_MS ? first : then;
  const isOver = nowMs >= 2 * FLOOD_MS;
  const demand = new Map([["orders", 3], ["quoting", 3], ["spare", 0]]);
  const shortages: Shortage[] = [];
  if (!isOver) {
    demand.set(flooded, 40);
    shortages.push({ pool: flooded, hosts: 20, sinceMs: -1e7 });
  }
  return { demand, shortages };
}

describe("a fleet under a flood", () => {
  // Guards against hosts that a flood takes from pools beyond their budgets,
  // that two pools own, or that restart with requests in progress.
  test.each<Flood>([
    { first: "orders", then: "quoting" },
    { first: "quoting", then: "orders" },
  ])("keeps its invariants when $first and then $then floods", (flood) => {
    const model = createWaveModel((nowMs) => demandAt(nowMs, flood));
    const sizes = new Set<string>();
    for (let step = 0; step < 500; step++) {
      stepFleet(model, { stepMs: 1_000 });
      const pools = [...model.truth.hostsByPool.values()];
      sizes.add(pools.map(({ size }) => size).join(" "));
      const owned = pools.flatMap((hosts) => [...hosts]);
      expect(new Set(owned).size).toBe(owned.length);
    }
    expect(model.checker.violations).toEqual({
      budget: [],
      owner: [],
      revert: [],
      fenced: [],
    });
    expect(model.disagreements).toEqual([]);
    expect(model.restartsWithoutPermit).toEqual([]);
    expect(model.hosts.cutRequests).toBe(0);
    // The flood moved hosts, so that the checks above had something to check.
    expect(sizes.size).toBeGreaterThan(1);
  });
});
