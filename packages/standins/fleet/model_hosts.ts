/**
 * Simulates the hosts of a fleet: restarts, failures and requests in progress.
 *
 * @module
 */

import type { ObservedHealth, WorkObservation } from "@lagoonloom/decisions";

/** Simulated host. */
export type ModelHost = {
  phase: "up" | "restarting" | "failed";
  /** Time in milliseconds at which the phase began. */
  sinceMs: number;
  /** Time in milliseconds at which it is up again; infinite if it is up. */
  untilMs: number;
  bootedAtMs: number;
  /** Time in milliseconds since which it gets no requests, if it drains. */
  drainingSinceMs: number | undefined;
};

/** Simulated hosts of a fleet, with counts of their restarts. */
export type ModelHosts = {
  hosts: Map<string, ModelHost>;
  /** Time in milliseconds until a draining host has no request in progress. */
  drainMs: number;
  /** Time in milliseconds that a restart of a host takes. */
  restartMs: (host: string) => number;
  /** Number of restarts that interrupted requests. */
  interruptingRestarts: number;
  restarts: number;
};

/** Options of {@linkcode createModelHosts}. */
export type ModelHostsOptions = {
  /** Time in milliseconds until a draining host has no request in progress. */
  drainMs: number;
  /** Time in milliseconds that a restart of a host takes. */
  restartMs: (host: string) => number;
};

/**
 * Creates hosts that are all up and serving.
 *
 * @example
 * ```ts
 * const hosts = createModelHosts(names, { drainMs, restartMs: () => 300_000 });
 * ```
 */
export function createModelHosts(
  names: readonly string[],
  options: ModelHostsOptions,
): ModelHosts {
  const hosts = new Map<string, ModelHost>(names.map((name) => [name, {
    phase: "up",
    sinceMs: 0,
    untilMs: Infinity,
    bootedAtMs: 0,
    drainingSinceMs: undefined,
  }]));
  return { hosts, ...options, interruptingRestarts: 0, restarts: 0 };
}

/**
 * Advances the hosts to a time. Hosts that leave begin to drain.
 *
 * @example
 * ```ts
 * stepHosts(hosts, { nowMs, isLeaving: (name) => false });
 * ```
 */
export function stepHosts(
  model: ModelHosts,
  options: { nowMs: number; isLeaving: (name: string) => boolean },
): void {
  const { nowMs } = options;
  for (const [name, host] of model.hosts) {
    if (host.phase !== "up" && host.untilMs <= nowMs) {
      host.phase = "up";
      host.sinceMs = nowMs;
      host.bootedAtMs = nowMs;
    }
    const isLeaving = options.isLeaving(name);
    if (!isLeaving) host.drainingSinceMs = undefined;
    else host.drainingSinceMs ??= nowMs;
  }
}

/**
 * Restarts a host; does nothing if it is not up.
 *
 * @example
 * ```ts
 * restartHost(hosts, "host-1", { nowMs });
 * ```
 */
export function restartHost(
  model: ModelHosts,
  name: string,
  { nowMs }: { nowMs: number },
): void {
  const host = model.hosts.get(name);
  if (host?.phase !== "up") return;
  model.restarts++;
  if (countRequests(model, host, nowMs) > 0) model.interruptingRestarts++;
  host.phase = "restarting";
  host.sinceMs = nowMs;
  host.untilMs = nowMs + model.restartMs(name);
}

/**
 * Makes a host fail until a time.
 *
 * @example
 * ```ts
 * failHost(hosts, "host-1", { nowMs, untilMs: nowMs + 60_000 });
 * ```
 */
export function failHost(
  model: ModelHosts,
  name: string,
  { nowMs, untilMs }: { nowMs: number; untilMs: number },
): void {
  const host = model.hosts.get(name);
  if (host === undefined) return;
  if (host.phase !== "failed") host.sinceMs = nowMs;
  host.phase = "failed";
  host.untilMs = untilMs;
}

/**
 * Returns the health and the number of requests of each host.
 *
 * @example
 * ```ts
 * const { healthByHost, observations } = observeHosts(hosts, { nowMs });
 * ```
 */
export function observeHosts(
  model: ModelHosts,
  { nowMs }: { nowMs: number },
): {
  healthByHost: Map<string, ObservedHealth>;
  observations: Map<string, WorkObservation>;
} {
  const healthByHost = new Map<string, ObservedHealth>();
  const observations = new Map<string, WorkObservation>();
  for (const [name, host] of model.hosts) {
    const health = host.phase === "up" ? "in-service" : "silent";
    healthByHost.set(name, { health, sinceMs: host.sinceMs });
    const requests = countRequests(model, host, nowMs);
    observations.set(name, { requests, bootedAtMs: host.bootedAtMs });
  }
  return { healthByHost, observations };
}

function countRequests(
  model: ModelHosts,
  host: ModelHost,
  nowMs: number,
): number {
  if (host.phase !== "up") return 0;
  const { drainingSinceMs: drainingSinceMs } = host;
  return drainingSinceMs !== undefined &&
      nowMs - drainingSinceMs >= model.drainMs
    ? 0
    : 1;
}
