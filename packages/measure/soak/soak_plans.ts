/**
 * What may happen in a run of a soak test.
 *
 * @module
 */

import {
  CAPACITY_FAULTS,
  DEADLY_FAULTS,
  SOAK_FAULTS,
  type SoakFault,
} from "./fault_plan.ts";
import type { SoakWorldOptions } from "./soak_world.ts";

/** Faults of a run and the kind of its executors. */
export type SoakPlan = SoakWorldOptions & { faults: readonly SoakFault[] };

/** Plans by name. A change of one leaves the random draws of the others. */
export const SOAK_PLANS = {
  basic: { faults: SOAK_FAULTS, guardsCapacity: () => false },
  deadlyTasks: { faults: DEADLY_FAULTS, guardsCapacity: () => false },
  capacities: {
    faults: CAPACITY_FAULTS,
    guardsCapacity: (executorNumber) => executorNumber % 3 === 0,
  },
} as const satisfies Record<string, SoakPlan>;
