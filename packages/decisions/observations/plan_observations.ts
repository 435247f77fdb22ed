import {
  type DeciderTerm,
  type PlannedRecord,
  planRecord,
} from "../deciders/planned_record.ts";
import type { FleetState, HostHealth } from "../fold/fleet_state.ts";
import { own } from "../fold/internal/outcomes.ts";

/** Health of a host as its data centre sees it. */
export type ObservedHealth = {
  health: HostHealth;
  /** Log time in milliseconds since which it has been seen so. */
  sinceMs: number;
};

/**
 * Time in milliseconds for which a host has to be seen silent. The host list is
 * delayed and may be wrong, and a single missed contact proves nothing.
 */
export const SILENCE_CONFIRMATION_MS = 3_000;

/** Options of {@linkcode planObservations}. */
export type PlanObservationsOptions = {
  term: DeciderTerm;
  /** Log time now in milliseconds. */
  nowMs: number;
};

/**
 * Returns the observations of a data centre that differ from the log. A host
 * counts as in service again only after a contact that succeeded, whatever the
 * host list says; the caller gives `in-service` only then.
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
    if (own(state.set.hosts, name)?.data_centre !== term.scope) continue;
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
