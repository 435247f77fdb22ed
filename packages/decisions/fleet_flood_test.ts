/**
 * Tests moves of hosts between pools while floods of requests overload two
 * pools in turn.
 *
 * @module
 */

import { describe, expect, test } from "@jest/globals";
import { stepFleet } from "@lagoonloom/standins/fleet";
import { createWaveModel } from "./_fixtures.ts";
import type { PoolImbalance } from "./mod.ts";

/** Duration of each of the two floods in milliseconds. */
const FLOOD_MS = 120_000;

/** Pools that are overloaded, one after the other. */
type Flood = { first: string; then: string };

/** Returns the demand in hosts and the shortages of the pools at a time. */
function demandAt(nowMs: number, { first, then }: Flood) {
  const overloaded = nowMs < FLOOD_MS ? first : then;
  const isOver = nowMs >= 2 * FLOOD_MS;
  const demand = new Map([["orders", 3], ["quoting", 3], ["spare", 0]]);
  const shortages: PoolImbalance[] = [];
  if (!isOver) {
    demand.set(overloaded, 40);
    shortages.push({ pool: overloaded, hosts: 20, sinceMs: -1e7 });
  }
  return { demand, shortages };
}

describe("a fleet under a flood", () => {
  // Guards against moves that violate the budgets of the pools, hosts that two
  // pools own, and restarts of hosts with requests in progress.
  test.each<Flood>([
    { first: "orders", then: "quoting" },
    { first: "quoting", then: "orders" },
  ])("keeps its invariants when $first and then $then floods", (flood) => {
    const model = createWaveModel((nowMs) => demandAt(nowMs, flood));
    const sizes = new Set<string>();
    for (let step = 0; step < 500; step++) {
      stepFleet(model, { stepMs: 1_000 });
      const pools = [...model.referenceState.hostsByPool.values()];
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
    expect(model.hosts.interruptingRestarts).toBe(0);
    // Checks that hosts moved at all, since the checks above depend on it.
    expect(sizes.size).toBeGreaterThan(1);
  });
});
