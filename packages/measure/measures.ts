import {
  measureBuffer,
  measureDecideTime,
  measureRollout,
  measureSafety,
} from "./capacity/mod.ts";
import type { Measure } from "./measure_row.ts";
import { measureJobs, measureJobsDecideTime } from "./jobs/mod.ts";
import { measureClaimCost } from "./requests/measure_claim_cost.ts";
import { measureFaults } from "./requests/measure_faults.ts";
import { measureFlood } from "./requests/measure_flood.ts";
import { measureFloodStress } from "./requests/measure_flood_stress.ts";
import { measureSettling } from "./requests/measure_settling.ts";
import { measureSlotExcess } from "./requests/measure_slot_excess.ts";
import { measureStaleForward } from "./requests/measure_stale_forward.ts";

/** Measures by the name that `--only` selects. */
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
