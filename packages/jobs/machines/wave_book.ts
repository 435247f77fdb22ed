import { z } from "zod";
import type { ProgressLog } from "../ended/progress_log.ts";
import type { Machine, UpkeepWave } from "../fleet.ts";
import type { JobEventLog } from "../job_event_log.ts";
import type { OpenWave } from "./plan_upkeep.ts";

/** Time for which a machine must be missing to count as taken away. */
const GONE_MS = 3_000;

/** Schema of the stored state of a wave. */
const StoredWave = z.object({
  begun: z.array(z.string()),
  isCompleted: z.boolean(),
});

type WaveState = {
  wave: UpkeepWave;
  dueAtMs: number;
  begun: Set<string>;
  isCompleted: boolean;
  isAnnounced: boolean;
};

/** Waves of upkeep and what has become of them, kept in the store. */
export type WaveBook = {
  /** Takes over a stored wave; other keys are ignored. */
  restore(key: string, document: unknown): void;
  update(waves: readonly UpkeepWave[]): void;
  open(): OpenWave[];
  /** Notes that the upkeep of a machine has begun. */
  begin(wave: number, machine: string): void;
  /** Tells operators of waves that have begun or are completed. */
  announce(machines: ReadonlyMap<string, Machine>): Promise<void>;
};

/** Options of {@linkcode createWaveBook}. */
export type WaveBookOptions = {
  progress: ProgressLog;
  events: JobEventLog;
  announce(wave: number, state: "running" | "completed"): Promise<boolean>;
};

/** Creates the book of the waves of upkeep. */
export function createWaveBook(options: WaveBookOptions): WaveBook {
  const waves = new Map<number, WaveState>();
  const stored = new Map<number, z.infer<typeof StoredWave>>();
  const missingSince = new Map<string, number>();

  const save = (state: WaveState) =>
    options.progress.put(waveKey(state.wave.wave), () =>
      JSON.stringify({
        begun: [...state.begun],
        isCompleted: state.isCompleted,
      }));

  /** A machine is settled if its upkeep is over or it was taken away. */
  const isSettled = (
    id: string,
    { state, machines }: {
      state: WaveState;
      machines: ReadonlyMap<string, Machine>;
    },
  ): boolean => {
    const nowMs = performance.now();
    if (machines.has(id) || machines.size === 0) {
      missingSince.delete(id);
      return state.begun.has(id) && machines.get(id)?.state !== "upkeep";
    }
    const sinceMs = missingSince.get(id) ?? nowMs;
    missingSince.set(id, sinceMs);
    return nowMs - sinceMs >= GONE_MS;
  };

  return {
    restore(key, document) {
      const number = parseWaveKey(key);
      const parsed = StoredWave.safeParse(document);
      if (number !== undefined && parsed.success) {
        stored.set(number, parsed.data);
      }
    },
    update(found) {
      for (const wave of found) {
        const known = waves.get(wave.wave);
        if (known !== undefined) {
          known.wave = wave;
          continue;
        }
        const before = stored.get(wave.wave);
        waves.set(wave.wave, {
          wave,
          dueAtMs: performance.now() + wave.finishByS * 1_000,
          begun: new Set(before?.begun),
          isCompleted: before?.isCompleted ?? false,
          isAnnounced: before?.isCompleted ?? false,
        });
      }
    },
    open: () =>
      [...waves.values()].filter(({ isCompleted }) => !isCompleted)
        .map(({ wave, dueAtMs, begun }) => ({ wave, dueAtMs, begun })),
    begin(wave, machine) {
      const state = waves.get(wave)!;
      state.begun.add(machine);
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
          isSettled(id, { state, machines })
        );
        if (!isOver) continue;
        state.isCompleted = true;
        state.isAnnounced = false;
        save(state);
        options.events.log("waveCompleted", {
          wave: state.wave.wave,
          machines: state.begun.size,
        });
      }
    },
  };
}

function waveKey(wave: number): string {
  return `wave.${wave}`;
}

function parseWaveKey(key: string): number | undefined {
  const match = /^wave\.(\d+)$/.exec(key);
  return match === null ? undefined : Number(match[1]);
}
