import type { ControlRecordOf, LogRecord } from "@lagoonloom/records";
import type { FleetState } from "../fleet_state.ts";
import type { RecordOutcome } from "../recent_outcome.ts";
import { checkTerm } from "./fold_decider.ts";
import { APPLIED, getOwn, refuse } from "./outcomes.ts";

type WaveChanged = ControlRecordOf<"wave.changed">;

/** Folds the start, pause or end of a maintenance wave. */
export function foldWaveChanged(
  state: FleetState,
  record: WaveChanged,
  log: LogRecord,
): RecordOutcome {
  const problem = checkTerm(state, record, log.timeMs);
  if (problem !== undefined) return refuse(problem);
  const object = getOwn(state.set.waves, record.wave);
  if (object === undefined) return refuse(`Wave "${record.wave}" is unknown.`);
  const wave = state.waves.get(record.wave);
  if (wave?.state === record.state) return refuse("Nothing changes.");
  if (record.state === "running" && object.state !== "active") {
    return refuse(`The operators do not let wave "${record.wave}" run.`);
  }
  if (wave?.state === "finished") {
    return refuse(`Wave "${record.wave}" has finished.`);
  }
  if (wave === undefined && record.state !== "running") {
    return refuse(`Wave "${record.wave}" has not begun.`);
  }
  const isRunning = record.state === "running";
  state.waves.set(record.wave, {
    state: record.state,
    reason: record.reason,
    sinceMs: log.timeMs,
    resumedAtMs: isRunning ? log.timeMs : wave?.resumedAtMs ?? log.timeMs,
    done: wave?.done ?? new Map(),
  });
  return APPLIED;
}
