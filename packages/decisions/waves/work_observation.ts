import type { HostState } from "../fold/fleet_state.ts";

/** What the daemons see of a host besides the log. */
export type WorkObservation = {
  /** Requests in progress at all entry hosts; undefined if one is unknown. */
  requests: number | undefined;
  /** Log time of the last start of the host in milliseconds, if known. */
  bootedAtMs?: number;
};

/** Observations by host. */
export type WorkObservations = ReadonlyMap<string, WorkObservation>;

/**
 * Reports whether a host has no request in progress. There is no deadline: a
 * host whose requests are not all known counts as busy.
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
 * Reports whether a host has restarted since a log time and serves again.
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
  /** Log time in milliseconds after which the restart has to lie. */
  sinceMs: number;
};
