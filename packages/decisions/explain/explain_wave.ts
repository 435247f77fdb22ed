import type { FleetState } from "../fold/fleet_state.ts";
import { getOwn } from "../fold/internal/outcomes.ts";
import { waveEvidence } from "../waves/wave_evidence.ts";
import { type Explanation, formatTime, unknownObject } from "./explanation.ts";

/**
 * Explains the progress of a maintenance wave, why it is paused and what
 * resumes it.
 *
 * @example
 * ```ts
 * const { sentences } = explainWave(state, "kernel");
 * ```
 */
export function explainWave(state: FleetState, name: string): Explanation {
  const object = getOwn(state.set.waves, name);
  if (object === undefined) return unknownObject("wave", name);
  const progress = state.waves.get(name);
  const hosts = object.pools.flatMap((
    pool,
  ) => [...state.hostsByPool.get(pool) ?? []]);
  const done = hosts.filter((host) => progress?.done.has(host) === true);
  const evidence = waveEvidence(state, { wave: name, nowMs: state.timeMs });
  const sentences = [
    `Wave "${name}" (${object.priority}) has maintained ${done.length} of ${hosts.length} hosts; ${evidence.out} are out.`,
  ];
  if (progress === undefined) {
    sentences.push(
      object.state === "active"
        ? "It begins in the next round of a decider."
        : `Its state in the set is ${object.state}; publish it as active to begin.`,
    );
  } else {
    sentences.push(
      `It is ${progress.state} since ${
        formatTime(progress.sinceMs)
      }: ${progress.reason}`,
    );
  }
  if (progress?.state === "paused") {
    sentences.push(
      object.state === "active"
        ? "It resumes once all its hosts are back in service, or once an operator publishes it as paused and then as active."
        : "It resumes once an operator publishes it as active.",
    );
  }
  return {
    sentences,
    facts: {
      ...object,
      progress: progress?.state ?? "not begun",
      done: done.length,
      hosts: hosts.length,
      evidence,
    },
  };
}
