import type { ControlRecord } from "@lagoonloom/records";
import { createHash } from "node:crypto";
import type { FleetState } from "../fold/fleet_state.ts";

/** Scope and epoch under which a decider's records are accepted. */
export type DeciderTerm = { scope: string; epoch: number };

/** Record to append; its body carries the reason. */
export type PlannedRecord = { id: string; body: ControlRecord };

/**
 * Returns a record with an id of its own. The id contains the next offset: a
 * record that was refused may be planned again after the state has changed,
 * and two appends of one plan count as one record.
 *
 * @example
 * ```ts
 * const { id } = planRecord(state, { type: "member.left", ...identity });
 * ```
 */
export function planRecord(
  state: FleetState,
  body: ControlRecord,
): PlannedRecord {
  const digest = createHash("sha256").update(JSON.stringify(body))
    .digest("base64url").slice(0, 22);
  return { id: `${state.nextOffset}.${body.type}.${digest}`, body };
}
