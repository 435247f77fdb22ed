/**
 * Simulated fleet for the tests of waves and moves between pools.
 *
 * @module
 */

import {
  createFleetModel,
  createFleetSet,
  type FleetModel,
} from "@lagoonloom/standins/fleet";
import { planMoves, planWave, type PoolImbalance } from "./mod.ts";

const DATA_CENTRES = ["detroit", "cleveland", "milwaukee"];

/** Load of the pools at a time, as deciders would estimate it. */
export type ModelLoad = {
  /** Hosts that each pool needs. */
  demand: ReadonlyMap<string, number>;
  /** Pools that lack hosts. */
  shortages: readonly PoolImbalance[];
};

/**
 * Creates a fleet of three data centres with a maintenance wave. Its deciders
 * estimate the load of the pools by `loadAt`.
 */
export function createWaveModel(
  loadAt: (nowMs: number) => ModelLoad,
): FleetModel {
  const set = createFleetSet({
    dataCentres: DATA_CENTRES.map((name) => ({ name, region: "great-lakes" })),
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
    daemons: DATA_CENTRES.map((dataCentre, index) => ({
      name: `e${index}`,
      dataCentre,
      scopes: DATA_CENTRES,
    })),
    planner: (state, { term, nowMs, observations }) => {
      const wave = planWave(state, observations, { term, nowMs });
      const options = { term, nowMs, ...loadAt(nowMs) };
      const moves = planMoves(state, observations, options);
      return {
        records: [...wave.records, ...moves.records],
        reboots: [...wave.reboots, ...moves.reboots],
      };
    },
  });
}
