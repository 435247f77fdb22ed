/**
 * What may happen in a run of a soak test.
 *
 * @module
 */

import type { Step } from "@lagoonloom/jobs";
import type { SoakFault } from "./_fault_draws.ts";
import { CAPACITY_FAULTS, DEADLY_FAULTS, SOAK_FAULTS } from "./fault_plan.ts";
import {
  type Between,
  drawCompetingSteps,
  drawSmallLastingStep,
} from "./draw_step.ts";
import { LEASE_FAULTS } from "./lease_faults.ts";
import type { SoakWorldOptions } from "./soak_world.ts";

/** Faults of a run and the kind of its executors. */
export type SoakPlan = SoakWorldOptions & {
  faults: readonly SoakFault[];
  /** Draws short steps that are accepted at once; a single one by default. */
  drawSteps?(between: Between): Partial<Step>[];
  /** Draws a step of lasting tasks; one of any size by default. */
  drawLastingStep?(between: Between): Partial<Step>;
};

/** Speed of the slowest clock of executors. */
const MIN_CLOCK_RATE = 0.98;

/** Executors whose clock and longest lease suit their owners. */
const LEASES = {
  leaseMs: 4_500,
  maxLeaseMs: 6_000,
  maxLatenessMs: 3_500,
  keepsLateCalls: false,
  createClock: () => undefined,
} as const satisfies Partial<SoakWorldOptions>;

/** Executors that refuse nothing, although the configuration says they do. */
const UNCHECKED = {
  guardsCapacity: () => false,
  enforcesCapacity: true,
} as const satisfies Partial<SoakWorldOptions>;

/** Plans by name. A change of one leaves the random draws of the others. */
export const SOAK_PLANS = {
  basic: { ...UNCHECKED, ...LEASES, faults: SOAK_FAULTS },
  deadlyTasks: { ...UNCHECKED, ...LEASES, faults: DEADLY_FAULTS },
  capacities: {
    ...LEASES,
    faults: CAPACITY_FAULTS,
    guardsCapacity: (executorNumber) => executorNumber % 3 === 0,
    enforcesCapacity: false,
  },
  // An organisation whose cap is less than its jobs mostly ask for.
  caps: { ...UNCHECKED, ...LEASES, faults: SOAK_FAULTS, capCpu: 10_000 },
  // Executors that grant far longer leases than owners request, and whose
  // clocks start anew with each process.
  longLeases: {
    ...UNCHECKED,
    faults: LEASE_FAULTS,
    leaseMs: 4_000,
    maxLeaseMs: 10_000,
    maxLatenessMs: 12_000,
    keepsLateCalls: true,
    createClock(random) {
      const clockRate = 1 - random() * (1 - MIN_CLOCK_RATE);
      return { clockRate, clockOffsetMs: -clockRate * performance.now() };
    },
  },
  // Owners that reserve room for large tasks, beside many small ones.
  reservations: {
    ...UNCHECKED,
    ...LEASES,
    faults: SOAK_FAULTS,
    reservesRoom: "always",
    drawSteps: drawCompetingSteps,
    drawLastingStep: drawSmallLastingStep,
  },
} as const satisfies Record<string, SoakPlan>;
