/**
 * Tracks which checkpoints are complete on the log. Folding a chunk does not
 * load its state.
 *
 * @module
 */

import type { ControlRecordOf, LogRecord } from "@lagoonloom/records";
import type { FleetState } from "../fleet_state.ts";
import type { RecordOutcome } from "../recent_outcome.ts";
import { APPLIED, refuse } from "./outcomes.ts";

type Checkpoint = ControlRecordOf<"checkpoint">;

/** Folds a chunk of a checkpoint, which is complete with its last one. */
export function foldCheckpoint(
  state: FleetState,
  record: Checkpoint,
  log: LogRecord,
): RecordOutcome {
  const { checkpoint } = state;
  const { offset, chunk, chunks } = record;
  if (offset <= checkpoint.offset) return refuse("A newer checkpoint exists.");
  if (offset > log.offset || chunk >= chunks) return refuse("Malformed chunk.");
  const pending = checkpoint.pending;
  if (pending !== undefined && offset < pending.offset) {
    return refuse("A newer checkpoint is under way.");
  }
  if (pending?.offset !== offset || pending.chunks !== chunks) {
    checkpoint.pending = { offset, chunks, seen: [chunk] };
  } else if (pending.seen.includes(chunk)) {
    return refuse("The chunk is known.");
  } else {
    pending.seen.push(chunk);
  }
  if (checkpoint.pending?.seen.length === chunks) {
    state.checkpoint = { offset, pending: undefined };
  }
  return APPLIED;
}
