/**
 * Observations that tell whether a host is drained or has restarted.
 *
 * @module
 */

import type { HostState } from "../fold/fleet_state.ts";

/** Observation of a host that is not recorded on the log. */
export type WorkObservation = {
  /**
   * Requests in progress from all entry hosts; undefined if the number of any
   * entry host is unknown.
   */
  requests: number | undefined;
  /** Log time of the last start of the host in milliseconds, if known. */
  bootedAtMs?: number;
};

/** Observations by host name. */
export type WorkObservations = ReadonlyMap<string, WorkObservation>;

/**
 * Returns whether a host certainly has no request in progress. A host whose
 * requests are not all known never counts as drained, however long that lasts.
 *
 * @example
 * ```ts
 * const empty = isDrained({ requests: 0 });
 * ```
 */
export function isDrained(observation: WorkObservation | undefined): boolean {
  return observation?.requests === 0;
}

/**
 * Returns whether a host has restarted since a log time and is in service.
 *
 * @example
 * ```ts
 * const back = hasReturned(host, observation, { sinceMs: permit.grantedAtMs });
 * ```
 */
export function hasReturned(
  host: HostState,
  observation: WorkObservation | undefined,
  options: HasReturnedOptions,
): boolean {
  if (host.health !== "in-service") return false;
  const downSinceMs = host.permit?.downSinceMs ?? 0;
  const bootedAtMs = observation?.bootedAtMs ?? 0;
  return Math.max(downSinceMs, bootedAtMs) > options.sinceMs;
}

/** Options of {@linkcode hasReturned}. */
export type HasReturnedOptions = {
  /** Log time in milliseconds after which the host has to have restarted. */
  sinceMs: number;
};
