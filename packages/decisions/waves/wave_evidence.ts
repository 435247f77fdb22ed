import type { FleetState, HostState } from "../fold/fleet_state.ts";
import { own } from "../fold/internal/outcomes.ts";

/** A host is late when it is down for this multiple of the outage. */
export const LATE_FACTOR = 3;

/** A host that returned was slow when it was down for this multiple. */
export const SLOW_FACTOR = 2;

/** A failure counts against the wave this long after the return. */
export const FAILURE_WINDOW_MS = 600_000;

/** Hosts that the wave touched last, among which bad ones are counted. */
export const EVIDENCE_WINDOW_HOSTS = 20;

/**
 * Bad hosts that pause a wave. At the fleet's failure rate (66 of 3,600 hosts a
 * day) two of the last 20 hosts fail within 10 minutes by chance in fewer than
 * one of 100,000 cases; one does in about one of 400.
 */
export const BAD_HOSTS_TO_PAUSE = 2;

/** Evidence for or against a wave. */
export type WaveEvidence = {
  /** Hosts that are late or failed after their return, and still are. */
  bad: string[];
  /** Hosts that returned, but slowly. */
  slow: string[];
  /** Hosts that returned well since the wave began or was resumed. */
  good: number;
  /** Hosts that are out for the wave. */
  out: number;
};

/** Options of {@linkcode waveEvidence}. */
export type WaveEvidenceOptions = {
  wave: string;
  /** Log time now in milliseconds. */
  nowMs: number;
};

/**
 * Collects the evidence of a wave from the folded state, so that every decider
 * comes to the same result.
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
  const outageMs = 1_000 * (own(state.set.waves, wave)?.outage_s ?? 0);
  const sinceMs = state.waves.get(wave)?.resumedAtMs ?? 0;
  const maintained: { name: string; atMs: number; outcome: HostOutcome }[] = [];
  for (const [name, host] of state.hosts) {
    const atMs = findMaintenanceTime(host, wave);
    if (atMs === undefined) continue;
    if (host.permit !== undefined) evidence.out++;
    const verdict = classifyHost(host, { sinceMs, outageMs, nowMs });
    if (verdict !== undefined) {
      maintained.push({ name, atMs, outcome: verdict });
    }
  }
  maintained.sort((left, right) =>
    right.atMs - left.atMs || (left.name < right.name ? -1 : 1)
  );
  evidence.good =
    maintained.filter(({ outcome: verdict }) => verdict === "good").length;
  for (
    const { name, outcome: verdict } of maintained.slice(
      0,
      EVIDENCE_WINDOW_HOSTS,
    )
  ) {
    if (verdict !== "good") evidence[verdict].push(name);
  }
  return evidence;
}

type HostOutcome = "good" | "bad" | "slow";

function findMaintenanceTime(
  host: HostState,
  wave: string,
): number | undefined {
  if (host.permit?.wave === wave) return host.permit.grantedAtMs;
  if (host.permit !== undefined) return undefined;
  return host.lastReturn?.wave === wave ? host.lastReturn.atMs : undefined;
}

type ClassifyHostOptions = { sinceMs: number; outageMs: number; nowMs: number };

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
