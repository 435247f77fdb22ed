/**
 * Records that a decider plans to append.
 *
 * @module
 */

import type { ControlRecord } from "@lagoonloom/records";
import { createHash } from "node:crypto";
import type { FleetState } from "../fold/fleet_state.ts";

/** Scope and epoch of a decider's lease, which its records carry. */
export type DeciderTerm = { scope: string; epoch: number };

/** Record to append, with the id by which duplicates are recognised. */
export type PlannedRecord = { id: string; body: ControlRecord };

/**
 * Creates a record with an id of its next offset, type and content. Two appends
 * of the same plan thus count as one record, while a record that was rejected
 * gets another id when it is planned again on a newer state.
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
