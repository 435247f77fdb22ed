/**
 * Tracks the upkeep waves that operators request, until they are completed.
 *
 * @module
 */

import { z } from "zod";
import type { ProgressLog } from "../ended/progress_log.ts";
import type { Machine, UpkeepWave } from "../fleet.ts";
import type { JobEventLog } from "../job_event_log.ts";
import type { ActiveWave } from "./plan_upkeep.ts";

/** Time after which a machine missing from the list counts as removed. */
const REMOVED_AFTER_MS = 3_000;

/** Schema of the stored state of a wave. */
const StoredWave = z.object({
  begun: z.array(z.string()),
  isCompleted: z.boolean(),
  /** Unix time of the deadline; absent in records of earlier versions. */
  dueUnixMs: z.number().optional(),
});

type WaveState = {
  wave: UpkeepWave;
  /** Monotonic time of the deadline. */
  dueAtMs: number;
  startedMachines: Set<string>;
  isCompleted: boolean;
  isAnnounced: boolean;
};

/** Upkeep waves and their progress, which is stored. */
export type WaveTracker = {
  /** Restores the stored progress of a wave; other keys are ignored. */
  restore(key: string, document: unknown): void;
  /** Adds new waves and updates the known ones. */
  update(waves: readonly UpkeepWave[]): void;
  /** Returns the waves that are not completed. */
  active(): ActiveWave[];
  /** Records that the upkeep of a machine of a wave has started. */
  markStarted(wave: number, machine: string): void;
  /**
   * Marks waves as completed when the upkeep of all their machines is over, and
   * publishes the state of waves that have started or completed.
   */
  announce(machines: ReadonlyMap<string, Machine>): Promise<void>;
};

/** Options of {@linkcode createWaveTracker}. */
export type WaveTrackerOptions = {
  progress: ProgressLog;
  events: JobEventLog;
  /** Publishes the state of a wave; false if it is not stored yet. */
  announce(wave: number, state: "running" | "completed"): Promise<boolean>;
};

/**
 * Creates a tracker of upkeep waves.
 *
 * @example
 * ```ts
 * const waves = createWaveTracker({ progress, events, announce });
 * waves.update([{ wave: 1, machines: ["m1"], finishByS: 60, maxDown: 1 }]);
 * ```
 */
export function createWaveTracker(options: WaveTrackerOptions): WaveTracker {
  const waves = new Map<number, WaveState>();
  const stored = new Map<number, z.infer<typeof StoredWave>>();
  /** Monotonic time since which a machine is missing, by machine. */
  const missingSince = new Map<string, number>();

  const save = (state: WaveState) =>
    options.progress.put(waveKey(state.wave.wave), () =>
      JSON.stringify({
        begun: [...state.startedMachines],
        isCompleted: state.isCompleted,
        dueUnixMs: Date.now() + state.dueAtMs - performance.now(),
      }));

  /** Returns whether the upkeep of a machine is over or it was removed. */
  const isFinished = (
    id: string,
    { state, machines }: {
      state: WaveState;
      machines: ReadonlyMap<string, Machine>;
    },
  ): boolean => {
    const nowMs = performance.now();
    if (machines.has(id) || machines.size === 0) {
      missingSince.delete(id);
      return state.startedMachines.has(id) &&
        machines.get(id)?.state !== "upkeep";
    }
    const sinceMs = missingSince.get(id) ?? nowMs;
    missingSince.set(id, sinceMs);
    return nowMs - sinceMs >= REMOVED_AFTER_MS;
  };

  return {
    restore(key, document) {
      const number = parseWaveKey(key);
      const parsed = StoredWave.safeParse(document);
      if (number !== undefined && parsed.success) {
        stored.set(number, parsed.data);
      }
    },
    update(requested) {
      for (const wave of requested) {
        const known = waves.get(wave.wave);
        if (known !== undefined) {
          known.wave = wave;
          continue;
        }
        const restored = stored.get(wave.wave);
        const state: WaveState = {
          wave,
          dueAtMs: performance.now() + remainingMs(wave, restored?.dueUnixMs),
          startedMachines: new Set(restored?.begun),
          isCompleted: restored?.isCompleted ?? false,
          isAnnounced: restored?.isCompleted ?? false,
        };
        waves.set(wave.wave, state);
        // Later owners plan for the same deadline.
        if (restored === undefined) save(state);
      }
    },
    active: () =>
      [...waves.values()].filter(({ isCompleted }) => !isCompleted)
        .map(({ wave, dueAtMs, startedMachines }) => ({
          wave,
          dueAtMs,
          startedMachines,
        })),
    markStarted(wave, machine) {
      const state = waves.get(wave)!;
      state.startedMachines.add(machine);
      save(state);
    },
    async announce(machines) {
      for (const state of waves.values()) {
        if (!state.isAnnounced) {
          state.isAnnounced = await options.announce(
            state.wave.wave,
            state.isCompleted ? "completed" : "running",
          );
        }
        if (state.isCompleted) continue;
        const isOver = state.wave.machines.every((id) =>
          isFinished(id, { state, machines })
        );
        if (!isOver) continue;
        state.isCompleted = true;
        state.isAnnounced = false;
        save(state);
        options.events.log("waveCompleted", {
          wave: state.wave.wave,
          machines: state.startedMachines.size,
        });
      }
    },
  };
}

/**
 * Returns the time until the deadline of a wave in milliseconds. The clocks of
 * two owners may differ, but no deadline is later than that of a new wave.
 */
function remainingMs(wave: UpkeepWave, dueUnixMs: number | undefined): number {
  const totalMs = wave.finishByS * 1_000;
  if (dueUnixMs === undefined) return totalMs;
  return Math.min(Math.max(dueUnixMs - Date.now(), 0), totalMs);
}

function waveKey(wave: number): string {
  return `wave.${wave}`;
}

function parseWaveKey(key: string): number | undefined {
  const match = /^wave\.(\d+)$/.exec(key);
  return match === null ? undefined : Number(match[1]);
}
