/**
 * Applies the records of the stream `control` to the state of the fleet.
 *
 * @module
 */

import { ControlRecord, type LogRecord } from "@lagoonloom/records";
import { invalidatePoolCapacity } from "../budgets/pool_capacity.ts";
import type { FleetState } from "./fleet_state.ts";
import { foldCheckpoint } from "./internal/fold_checkpoint.ts";
import { foldDeciderClaimed } from "./internal/fold_decider.ts";
import {
  foldJobCancelled,
  foldJobEnded,
  foldJobParked,
  foldJobPlaced,
  foldJobSubmitted,
  foldWorkerChanged,
} from "./internal/fold_job.ts";
import {
  foldMemberJoined,
  foldMemberLeft,
  foldMemberLost,
  foldMemberWatched,
} from "./internal/fold_member.ts";
import { foldMoveAdvanced } from "./internal/fold_move.ts";
import {
  foldHostObserved,
  foldPermitGranted,
  foldPermitReturned,
} from "./internal/fold_permit.ts";
import { foldSetChanged } from "./internal/fold_set.ts";
import { foldWaveChanged } from "./internal/fold_wave.ts";
import { refuse } from "./internal/outcomes.ts";
import type { RecordOutcome } from "./recent_outcome.ts";
import { OUTCOME_WINDOW_OFFSETS } from "./record_outcome.ts";

/**
 * Folds one record of the stream `control` into the state, in place, and
 * returns whether it took effect. The result depends only on the state and the
 * record. A malformed record is refused; the function never throws.
 *
 * The caller passes records in the order of their offsets, and loads a
 * checkpoint if the log no longer has the next offset. A record below the next
 * offset was delivered before and is a duplicate.
 *
 * @example
 * ```ts
 * const outcome = applyRecord(state, record);
 * ```
 */
export function applyRecord(
  state: FleetState,
  record: LogRecord,
): RecordOutcome {
  if (record.offset < state.nextOffset) return { type: "duplicate" };
  state.nextOffset = record.offset + 1;
  state.timeMs = Math.max(state.timeMs, record.timeMs);
  evictOutcomes(state);
  if (state.outcomes.has(record.id)) return { type: "duplicate" };
  const parsed = ControlRecord.safeParse(record.body);
  const outcome = parsed.success
    ? foldAndInvalidate(state, parsed.data, record)
    : refuse(describeIssue(parsed.error.issues[0]));
  const { offset, timeMs, id } = record;
  state.outcomes.set(id, { offset, timeMs, outcome });
  return outcome;
}

/** Folds a record and invalidates the cached capacity of the changed pools. */
function foldAndInvalidate(
  state: FleetState,
  body: ControlRecord,
  log: LogRecord,
): RecordOutcome {
  const host = "host" in body ? state.hosts.get(body.host) : undefined;
  const before = host === undefined ? [] : [host.owner, host.move?.to ?? ""];
  const outcome = foldBody(state, body, log);
  if (body.type === "set.changed") invalidatePoolCapacity(state);
  if (host !== undefined) {
    const pools = [...before, host.owner, host.move?.to ?? ""];
    invalidatePoolCapacity(state, pools);
  }
  return outcome;
}

function describeIssue(
  issue: { path: PropertyKey[]; message: string } | undefined,
): string {
  if (issue === undefined) return "Malformed record.";
  return `Malformed record: ${issue.path.join(".")}: ${issue.message}`;
}

/** Removes the outcomes of records that have left the window of offsets. */
function evictOutcomes(state: FleetState): void {
  for (const [id, { offset }] of state.outcomes) {
    if (offset > state.nextOffset - 1 - OUTCOME_WINDOW_OFFSETS) return;
    state.outcomes.delete(id);
  }
}

function foldBody(
  state: FleetState,
  body: ControlRecord,
  log: LogRecord,
): RecordOutcome {
  switch (body.type) {
    case "set.changed":
      return foldSetChanged(state, body, log);
    case "member.joined":
      return foldMemberJoined(state, body, log);
    case "member.left":
      return foldMemberLeft(state, body);
    case "member.lost":
      return foldMemberLost(state, body);
    case "member.watched":
      return foldMemberWatched(state, body);
    case "decider.claimed":
      return foldDeciderClaimed(state, body, log);
    case "permit.granted":
      return foldPermitGranted(state, body, log);
    case "permit.returned":
      return foldPermitReturned(state, body, log);
    case "host.observed":
      return foldHostObserved(state, body, log);
    case "move.advanced":
      return foldMoveAdvanced(state, body, log);
    case "wave.changed":
      return foldWaveChanged(state, body, log);
    case "job.submitted":
      return foldJobSubmitted(state, body, log);
    case "job.placed":
      return foldJobPlaced(state, body, log);
    case "job.ended":
      return foldJobEnded(state, body, log);
    case "job.cancelled":
      return foldJobCancelled(state, body, log);
    case "job.parked":
      return foldJobParked(state, body, log);
    case "worker.changed":
      return foldWorkerChanged(state, body, log);
    case "checkpoint":
      return foldCheckpoint(state, body, log);
  }
}
