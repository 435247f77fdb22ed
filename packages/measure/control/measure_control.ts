/**
 * Measures of running daemons without requests.
 *
 * @module
 */

import type { MeasureRow } from "../measure_row.ts";
import { type ControlFleet, startControlFleet } from "./control_fleet.ts";
import { measureInForceDelays } from "./in_force_delays.ts";
import { readProcessUsage } from "./process_usage.ts";
import { publishChanges } from "./publish_changes.ts";

/** Numbers of daemons for which the cost is measured. */
export const CONTROL_SIZES = [3, 9, 27] as const;

/** Time after the start in which daemons join and choose their watchers. */
const SETTLE_MS = 10_000;

/** Phase without changes. */
const IDLE_LOAD = { changesPerS: 0, durationMs: 20_000 };

/** Rate of the target scale: 8,900 changes a day. */
const TWO_YEAR_LOAD = { changesPerS: 0.1, durationMs: 30_000 };

/** The changes of a day at the target scale in one minute. */
const BURST_LOAD = { changesPerS: 8_900 / 60, durationMs: 60_000 };

/** Shorter burst during which the daemons are polled for their versions. */
const SAMPLED_BURST_LOAD = { ...BURST_LOAD, durationMs: 6_000 };

/** Options of {@linkcode measureControl}. */
export type MeasureControlOptions = {
  /** Whether to measure only daemons without changes. */
  isIdleOnly?: boolean;
};

/**
 * Measures processor time, memory and transferred bytes of running daemons that
 * get no requests, while idle and while changes are published, and how soon
 * changes are in force (`config-in-force`). The daemons are real processes, so
 * the values depend on the machine and its load.
 *
 * @example
 * ```ts
 * const rows = await measureControl(9);
 * ```
 */
export async function measureControl(
  daemons: number,
  options: MeasureControlOptions = {},
): Promise<MeasureRow[]> {
  const fleet = await startControlFleet(daemons);
  const phaseName = (name: string) => `processes-${daemons}-${name}`;
  try {
    await sleep(SETTLE_MS);
    const rows = await measureUsage(fleet, {
      deployment: phaseName("idle"),
      run: () => sleep(IDLE_LOAD.durationMs),
    });
    if (options.isIdleOnly === true) return rows;
    for (
      const [name, load] of [
        ["two-year", TWO_YEAR_LOAD],
        ["burst", BURST_LOAD],
      ] as const
    ) {
      const deployment = phaseName(name);
      let accepted = 0;
      rows.push(
        ...await measureUsage(fleet, {
          deployment,
          run: async () => accepted = await publishChanges(fleet, load),
        }),
      );
      const changesPerS = accepted * 1_000 / load.durationMs;
      rows.push(
        createRow("control-changes", {
          deployment,
          value: changesPerS,
          unit: "/s",
        }),
      );
    }
    return [...rows, ...await measureInForce(fleet, phaseName("burst"))];
  } finally {
    await fleet.stop();
  }
}

/** Name of the rows' deployment, and what runs while usage is measured. */
type UsagePhase = { deployment: string; run: () => Promise<unknown> };

async function measureUsage(
  fleet: ControlFleet,
  { deployment, run }: UsagePhase,
): Promise<MeasureRow[]> {
  const before = fleet.pids.map(readProcessUsage);
  const startedAtMs = performance.now();
  await run();
  const passedMs = performance.now() - startedAtMs;
  const after = fleet.pids.map(readProcessUsage);
  const cpu = after.map((it, index) =>
    100 * (it.cpuMs - before[index]!.cpuMs) / passedMs
  );
  const bytes = after.map((it, index) =>
    (it.ioBytes - before[index]!.ioBytes) / passedMs
  );
  const memory = after.map((it) => it.residentMb);
  const row = (measure: string, value: number, unit: string) =>
    createRow(measure, { deployment, value, unit });
  return [
    row("control-cpu", meanOf(cpu), "% of a core, mean"),
    row("control-cpu", Math.max(...cpu), "% of a core, worst"),
    row("control-memory", Math.max(...memory), "MB, worst"),
    row("control-bytes", meanOf(bytes), "KB/s in and out, mean"),
    row("control-bytes", Math.max(...bytes), "KB/s in and out, worst"),
  ];
}

async function measureInForce(
  fleet: ControlFleet,
  deployment: string,
): Promise<MeasureRow[]> {
  const delays = await measureInForceDelays(
    fleet,
    () => publishChanges(fleet, SAMPLED_BURST_LOAD),
  );
  const sorted = delays.sort((a, b) => a - b);
  return [0.5, 0.99].map((share) => {
    const value = sorted[Math.ceil(share * sorted.length) - 1] ?? NaN;
    const unit = `s, p${share * 100}`;
    return createRow("config-in-force", { deployment, value, unit });
  });
}

function createRow(
  measure: string,
  fields: Pick<MeasureRow, "deployment" | "value" | "unit">,
): MeasureRow {
  const value = Math.round(fields.value * 1_000) / 1_000;
  return { ...fields, measure, value, policy: "chosen" };
}

function meanOf(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / values.length;
}

function sleep(delayMs: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, delayMs));
}
