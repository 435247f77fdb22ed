/**
 * Deployments of docs/design.md as the simulations of requests need them.
 *
 * @module
 */

/** Desk with its service and home pool, which have the same name. */
export type Desk = {
  name: string;
  /** Number of executors in its home pool. */
  executors: number;
  /** Mean run time of its requests in milliseconds. */
  runTimeMs: number;
  /** Run time that the object set declares; `runTimeMs` by default. */
  declaredRunTimeMs?: number;
  /** Time from arrival to deadline in milliseconds. */
  deadlineMs: number;
};

/** Deployment whose requests are simulated. */
export type Deployment = {
  name: string;
  desks: readonly Desk[];
  /** Pool that the others use first when they overflow. */
  sparePool: string;
  dataCentres: number;
  entryHosts: number;
  /** One-way latency between data centres in milliseconds. */
  latencyMs: number;
  /** Desk that sends the flood; its pool is the largest, its run times long. */
  floodingDesk: string;
};

/** Number of slots of an executor. */
export const SLOTS_PER_EXECUTOR = 8;

/** One-way latency within a data centre in milliseconds. */
export const LOCAL_LATENCY_MS = 0.2;

/** Standard deviation of the logarithm of run times. */
export const RUN_TIME_SIGMA = 0.5;

/** Lakeshore Glove Cooperative. */
export const LAKESHORE: Deployment = {
  name: "lakeshore",
  desks: [
    { name: "quoting", executors: 6, runTimeMs: 80, deadlineMs: 1_000 },
    { name: "orders", executors: 6, runTimeMs: 150, deadlineMs: 2_000 },
    { name: "inventory", executors: 8, runTimeMs: 100, deadlineMs: 1_500 },
    { name: "shipping", executors: 9, runTimeMs: 200, deadlineMs: 2_000 },
    { name: "backoffice", executors: 6, runTimeMs: 400, deadlineMs: 4_000 },
  ],
  sparePool: "backoffice",
  dataCentres: 3,
  entryHosts: 9,
  latencyMs: 0.5,
  floodingDesk: "shipping",
};

/** Nyabarongo Archive Gloves Ltd. */
export const NYABARONGO: Deployment = {
  name: "nyabarongo",
  desks: [
    { name: "kigali-desk", executors: 6, runTimeMs: 120, deadlineMs: 1_500 },
    { name: "huye-desk", executors: 6, runTimeMs: 250, deadlineMs: 2_500 },
    { name: "musanze-desk", executors: 8, runTimeMs: 150, deadlineMs: 2_000 },
    { name: "rubavu-desk", executors: 9, runTimeMs: 300, deadlineMs: 2_500 },
    { name: "shared-desk", executors: 6, runTimeMs: 500, deadlineMs: 5_000 },
  ],
  sparePool: "shared-desk",
  dataCentres: 3,
  entryHosts: 9,
  latencyMs: 1.4,
  floodingDesk: "rubavu-desk",
};

/** Deployments whose requests are measured. */
export const DEPLOYMENTS: readonly Deployment[] = [LAKESHORE, NYABARONGO];

/**
 * Returns the number of slots of all executors.
 *
 * @example
 * ```ts
 * countSlots(LAKESHORE); // 280
 * ```
 */
export function countSlots(deployment: Deployment): number {
  return deployment.desks.reduce(
    (sum, desk) => sum + desk.executors * SLOTS_PER_EXECUTOR,
    0,
  );
}
