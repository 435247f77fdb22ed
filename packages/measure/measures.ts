/**
 * Registry of the measures.
 *
 * @module
 */

import {
  measureBuffer,
  measureDecideTime,
  measureRollout,
  measureSafety,
} from "./capacity/mod.ts";
import { CONTROL_SIZES, measureControl } from "./control/mod.ts";
import { measureProcessesFlood } from "./demo/measure_processes_flood.ts";
import type { Measure } from "./measure_row.ts";
import {
  measureJobs,
  measureJobsDecideTime,
  measurePlacementRound,
} from "./jobs/mod.ts";
import { measureClaimCost } from "./requests/measure_claim_cost.ts";
import { measureFaults } from "./requests/measure_faults.ts";
import { measureFlood } from "./requests/measure_flood.ts";
import { measureFloodStress } from "./requests/measure_flood_stress.ts";
import { measureSettling } from "./requests/measure_settling.ts";
import { measureSlotExcess } from "./requests/measure_slot_excess.ts";
import { measureStaleForward } from "./requests/measure_stale_forward.ts";
import { measureSchedules } from "./schedules/mod.ts";

/** Measures by the name that `--only` selects; all run by default. */
export const MEASURES: Readonly<Record<string, Measure>> = {
  buffer: measureBuffer,
  "claim-cost": measureClaimCost,
  "decide-time": measureDecideTime,
  faults: measureFaults,
  flood: measureFlood,
  "flood-stress": measureFloodStress,
  jobs: measureJobs,
  "jobs-decide-time": measureJobsDecideTime,
  rollout: measureRollout,
  safety: measureSafety,
  settling: measureSettling,
  "slot-excess": measureSlotExcess,
  "stale-forward": measureStaleForward,
};

/**
 * Measures with real processes or in real time, by name. They run only if
 * `--only` selects them, since they take minutes and their values depend on the
 * machine.
 */
export const PROCESS_MEASURES: Readonly<Record<string, Measure>> = {
  control: async () => {
    const rows = [];
    for (const daemons of CONTROL_SIZES) {
      rows.push(...await measureControl(daemons));
    }
    return rows;
  },
  "placement-round": measurePlacementRound,
  "processes-flood": measureProcessesFlood,
  schedules: measureSchedules,
  ...Object.fromEntries(CONTROL_SIZES.flatMap((daemons) => [
    [`control-${daemons}`, () => measureControl(daemons)],
    [
      `control-idle-${daemons}`,
      () => measureControl(daemons, { isIdleOnly: true }),
    ],
  ])),
};
