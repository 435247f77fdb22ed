/**
 * Plans records of the observed health of hosts.
 *
 * @module
 */

import {
  type DeciderTerm,
  type PlannedRecord,
  planRecord,
} from "../deciders/planned_record.ts";
import type { FleetState, HostHealth } from "../fold/fleet_state.ts";
import { getOwn } from "../fold/internal/outcomes.ts";

/** Health of a host as observed from its data centre. */
export type ObservedHealth = {
  health: HostHealth;
  /** Log time in milliseconds since which this health is observed. */
  sinceMs: number;
};

/**
 * Time in milliseconds for which a host has to be silent before it is recorded
 * as such. The host list is delayed and may be wrong, and a single missed probe
 * proves nothing.
 */
export const SILENCE_CONFIRMATION_MS = 3_000;

/** Options of {@linkcode planObservations}. */
export type PlanObservationsOptions = {
  term: DeciderTerm;
  /** Log time now in milliseconds. */
  nowMs: number;
};

/**
 * Returns records of the observed health of a data centre's hosts where it
 * differs from the log. The caller must pass `in-service` only after a probe
 * that succeeded, whatever the host list says.
 *
 * @example
 * ```ts
 * const records = planObservations(state, contacts, { term, nowMs });
 * ```
 */
export function planObservations(
  state: FleetState,
  contacts: ReadonlyMap<string, ObservedHealth>,
  { term, nowMs }: PlanObservationsOptions,
): PlannedRecord[] {
  const records: PlannedRecord[] = [];
  for (const [name, { health, sinceMs }] of contacts) {
    const host = state.hosts.get(name);
    if (host === undefined || host.health === health) continue;
    if (getOwn(state.set.hosts, name)?.data_centre !== term.scope) continue;
    const isConfirmed = health !== "silent" ||
      nowMs - sinceMs >= SILENCE_CONFIRMATION_MS;
    if (!isConfirmed) continue;
    const { generation } = host;
    const reason = `Seen ${health} from "${term.scope}".`;
    records.push(planRecord(state, {
      type: "host.observed",
      host: name,
      generation,
      health,
      reason,
    }));
  }
  return records;
}
