import type { MeasureRow } from "../measure_row.ts";
import { type ControlFleet, startControlFleet } from "./control_fleet.ts";
import { readProcessUsage } from "./process_usage.ts";
import { publishChanges } from "./publish_changes.ts";
import { watchVersions } from "./watch_versions.ts";

/** Numbers of daemons that are measured. */
export const CONTROL_SIZES = [3, 9, 27] as const;

/** Time in which the started daemons name watchers and settle. */
const SETTLE_MS = 10_000;

const IDLE = { changesPerS: 0, durationMs: 20_000 };

/** Rate of 8,900 changes a day. */
const TWO_YEAR = { changesPerS: 0.1, durationMs: 30_000 };

/** 8,900 changes in one minute. */
const BURST = { changesPerS: 8_900 / 60, durationMs: 60_000 };

/** Part of a burst in which the daemons are asked for their versions. */
const WATCHED_BURST = { ...BURST, durationMs: 6_000 };

/** Options of {@linkcode measureControl}. */
export type MeasureControlOptions = { isIdleOnly?: boolean };

/**
 * Measures what running daemons cost without requests, in real processes. The
 * values depend on the machine and its load.
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
  const phase = (name: string) => `processes-${daemons}-${name}`;
  try {
    await sleep(SETTLE_MS);
    const rows = await measureUsage(fleet, {
      deployment: phase("idle"),
      run: () => sleep(IDLE.durationMs),
    });
    if (options.isIdleOnly === true) return rows;
    for (
      const [name, load] of [["two-year", TWO_YEAR], ["burst", BURST]] as const
    ) {
      const deployment = phase(name);
      let accepted = 0;
      rows.push(
        ...await measureUsage(fleet, {
          deployment,
          run: async () => accepted = await publishChanges(fleet, load),
        }),
      );
      const changesPerS = accepted * 1_000 / load.durationMs;
      rows.push(
        rowOf("control-changes", {
          deployment,
          value: changesPerS,
          unit: "/s",
        }),
      );
    }
    return [...rows, ...await measureInForce(fleet, phase("burst"))];
  } finally {
    await fleet.stop();
  }
}

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
    (it.bytes - before[index]!.bytes) / passedMs
  );
  const memory = after.map((it) => it.residentMb);
  const row = (measure: string, value: number, unit: string) =>
    rowOf(measure, { deployment, value, unit });
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
  const delays = await watchVersions(
    fleet,
    () => publishChanges(fleet, WATCHED_BURST),
  );
  const sorted = delays.sort((a, b) => a - b);
  return [0.5, 0.99].map((share) => {
    const value = sorted[Math.ceil(share * sorted.length) - 1] ?? NaN;
    const unit = `s, p${share * 100}`;
    return rowOf("config-in-force", { deployment, value, unit });
  });
}

function rowOf(
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
