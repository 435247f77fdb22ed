/** Desk with its home pool, which has the same name. */
export type Desk = {
  name: string;
  executors: number;
  runTimeMs: number;
  /** Run time that the set declares, if it is another one. */
  declaredRunTimeMs?: number;
  deadlineMs: number;
};

/** Deployment of the design page, as far as requests need it. */
export type Deployment = {
  name: string;
  desks: readonly Desk[];
  /** Desk whose pool is the spare pool. */
  spare: string;
  dataCentres: number;
  entryHosts: number;
  /** One-way latency between data centres in milliseconds. */
  latencyMs: number;
  /** Desk that floods: the largest pool, with long run times. */
  flooding: string;
};

/** Slots of an executor. */
export const SLOTS_PER_EXECUTOR = 8;

/** One-way latency within a data centre in milliseconds. */
export const LOCAL_LATENCY_MS = 0.2;

/** Spread of the logarithm of run times. */
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
  spare: "backoffice",
  dataCentres: 3,
  entryHosts: 9,
  latencyMs: 0.5,
  flooding: "shipping",
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
  spare: "shared-desk",
  dataCentres: 3,
  entryHosts: 9,
  latencyMs: 1.4,
  flooding: "rubavu-desk",
};

/** Deployments whose requests are measured. */
export const DEPLOYMENTS: readonly Deployment[] = [LAKESHORE, NYABARONGO];

/**
 * Returns the slots of all executors.
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
