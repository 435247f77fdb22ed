import { describe, expect, test } from "@jest/globals";
import {
  createFleetModel,
  createFleetSet,
  type FleetModel,
  stepFleet,
} from "@lagoonloom/standins/fleet";
import { planMoves, planWave, type Shortage } from "./mod.ts";

const PLACES = ["detroit", "cleveland", "milwaukee"];

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

function createModel(flood: Flood): FleetModel {
  const set = createFleetSet({
    dataCentres: PLACES.map((name) => ({ name, region: "great-lakes" })),
    pools: { orders: 6, quoting: 6, spare: 4 },
    sparePool: "spare",
    minAvailablePercent: 60,
    maxOutPerRack: 2,
    cores: 16,
    memoryGb: 32,
    waves: { kernel: { outage_s: 20 } },
  });
  return createFleetModel({
    set,
    drainMs: 5_000,
    restartMs: () => 20_000,
    daemons: PLACES.map((dataCentre, index) => ({
      name: `e${index}`,
      dataCentre,
      scopes: PLACES,
    })),
    planner: (state, { term, nowMs, observations }) => {
      const wave = planWave(state, observations, { term, nowMs });
      const options = { term, nowMs, ...demandAt(nowMs, flood) };
      const moves = planMoves(state, observations, options);
      return {
        records: [...wave.records, ...moves.records],
        reboots: [...wave.reboots, ...moves.reboots],
      };
    },
  });
}

describe("a fleet under a flood", () => {
  // Guards against hosts that a flood takes from pools beyond their budgets,
  // that two pools own, or that restart with requests in progress.
  test.each<Flood>([
    { first: "orders", then: "quoting" },
    { first: "quoting", then: "orders" },
  ])("keeps its invariants when $first and then $then floods", (flood) => {
    const model = createModel(flood);
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
