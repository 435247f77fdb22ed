/**
 * Outcomes of the hosts that a wave has maintained, which decide whether it
 * pauses.
 *
 * @module
 */

import type { FleetState, HostState } from "../fold/fleet_state.ts";
import { getOwn } from "../fold/internal/outcomes.ts";

/** Multiple of the wave's outage after which a host that is down is late. */
export const LATE_FACTOR = 3;

/** Multiple of the wave's outage after which a returned host was slow. */
export const SLOW_FACTOR = 2;

/** Time in milliseconds after its return in which a failure is the wave's. */
export const FAILURE_WINDOW_MS = 600_000;

/** Number of last maintained hosts among which bad and slow ones count. */
export const EVIDENCE_WINDOW_HOSTS = 20;

/**
 * Number of bad or slow hosts at which a wave pauses. At the fleet's failure
 * rate (66 of 3,600 hosts a day), 2 of the last 20 hosts fail by chance within
 * 10 minutes in fewer than 1 of 100,000 cases, and 1 does in about 1 of 400.
 */
export const BAD_HOSTS_TO_PAUSE = 2;

/** Outcomes of the hosts of a wave. */
export type WaveEvidence = {
  /** Hosts that are late now, or failed after their return and still are. */
  bad: string[];
  /** Hosts that returned slowly since the wave started or resumed. */
  slow: string[];
  /** Number of hosts that returned in time since it started or resumed. */
  good: number;
  /** Number of hosts that are out for the wave. */
  out: number;
};

/** Options of {@linkcode waveEvidence}. */
export type WaveEvidenceOptions = {
  wave: string;
  /** Log time now in milliseconds. */
  nowMs: number;
};

/**
 * Collects the outcomes of a wave's hosts. They depend only on the folded state
 * and the time, so every decider gets the same result.
 *
 * @example
 * ```ts
 * const { bad } = waveEvidence(state, { wave: "kernel", nowMs });
 * ```
 */
export function waveEvidence(
  state: FleetState,
  { wave, nowMs }: WaveEvidenceOptions,
): WaveEvidence {
  const evidence: WaveEvidence = { bad: [], slow: [], good: 0, out: 0 };
  const outageMs = 1_000 * (getOwn(state.set.waves, wave)?.outage_s ?? 0);
  const sinceMs = state.waves.get(wave)?.resumedAtMs ?? 0;
  const maintained: { name: string; atMs: number; outcome: HostOutcome }[] = [];
  for (const [name, host] of state.hosts) {
    const atMs = findMaintenanceTime(host, wave);
    if (atMs === undefined) continue;
    if (host.permit !== undefined) evidence.out++;
    const outcome = classifyHost(host, { sinceMs, outageMs, nowMs });
    if (outcome !== undefined) {
      maintained.push({ name, atMs, outcome });
    }
  }
  maintained.sort((left, right) =>
    right.atMs - left.atMs || (left.name < right.name ? -1 : 1)
  );
  evidence.good = maintained.filter(({ outcome }) => outcome === "good").length;
  for (
    const { name, outcome } of maintained.slice(
      0,
      EVIDENCE_WINDOW_HOSTS,
    )
  ) {
    if (outcome !== "good") evidence[outcome].push(name);
  }
  return evidence;
}

type HostOutcome = "good" | "bad" | "slow";

/** Returns when the wave took the host out or, if it is back, its return. */
function findMaintenanceTime(
  host: HostState,
  wave: string,
): number | undefined {
  if (host.permit?.wave === wave) return host.permit.grantedAtMs;
  if (host.permit !== undefined) return undefined;
  return host.lastReturn?.wave === wave ? host.lastReturn.atMs : undefined;
}

type ClassifyHostOptions = { sinceMs: number; outageMs: number; nowMs: number };

/** Returns the outcome of a host, or undefined while it is not known. */
function classifyHost(
  host: HostState,
  { sinceMs, outageMs, nowMs }: ClassifyHostOptions,
): HostOutcome | undefined {
  if (host.permit !== undefined) {
    if (host.health === "in-service") return undefined;
    const downMs = nowMs - (host.permit.downSinceMs ?? host.healthSinceMs);
    return downMs > LATE_FACTOR * outageMs ? "bad" : undefined;
  }
  const { lastReturn } = host;
  if (lastReturn === undefined) return undefined;
  if (host.health !== "in-service") {
    const afterMs = host.healthSinceMs - lastReturn.atMs;
    return afterMs <= FAILURE_WINDOW_MS ? "bad" : undefined;
  }
  if (lastReturn.atMs <= sinceMs) return undefined;
  return lastReturn.outMs > SLOW_FACTOR * outageMs ? "slow" : "good";
}
