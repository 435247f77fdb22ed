/**
 * Folds permits for planned outages of hosts, and observations of their health.
 *
 * @module
 */

import type { ControlRecordOf, LogRecord } from "@lagoonloom/records";
import { findOutageBlocker } from "../../budgets/find_outage_blocker.ts";
import { poolCapacity } from "../../budgets/pool_capacity.ts";
import type { FleetState, HostState } from "../fleet_state.ts";
import type { RecordOutcome } from "../recent_outcome.ts";
import { checkTerm } from "./fold_decider.ts";
import { setMove } from "./host_index.ts";
import { APPLIED, getOwn, refuse } from "./outcomes.ts";

type PermitGranted = ControlRecordOf<"permit.granted">;
type PermitReturned = ControlRecordOf<"permit.returned">;
type HostObserved = ControlRecordOf<"host.observed">;

/** Folds a permit, unless the outage of the host would violate a budget. */
export function foldPermitGranted(
  state: FleetState,
  record: PermitGranted,
  log: LogRecord,
): RecordOutcome {
  const host = findHostForDecision(state, record, log);
  if (typeof host === "string") return refuse(host);
  const problem = checkWave(state, record) ??
    findOutageBlocker(state, poolCapacity(state, host.owner), record.host);
  if (problem !== undefined) return refuse(problem);
  host.permit = {
    purpose: record.purpose,
    wave: record.wave,
    to: record.to,
    reason: record.reason,
    grantedAtMs: log.timeMs,
    downSinceMs: undefined,
  };
  return APPLIED;
}

function checkWave(
  state: FleetState,
  record: PermitGranted,
): string | undefined {
  if (record.wave === undefined) return undefined;
  const wave = state.waves.get(record.wave);
  if (wave?.state !== "running") return `Wave "${record.wave}" does not run.`;
  if (getOwn(state.set.waves, record.wave)?.state !== "active") {
    return `The operators do not let wave "${record.wave}" run.`;
  }
  if (!wave.done.has(record.host)) return undefined;
  return `Wave "${record.wave}" has maintained the host.`;
}

/** Folds the return of a permit, which ends the planned outage of a host. */
export function foldPermitReturned(
  state: FleetState,
  record: PermitReturned,
  log: LogRecord,
): RecordOutcome {
  const host = findHostForDecision(state, record, log);
  if (typeof host === "string") return refuse(host);
  if (host.permit === undefined) return refuse("No permit is open.");
  if (host.move !== undefined) return refuse("A move is under way.");
  const { wave, downSinceMs } = host.permit;
  host.lastReturn = {
    atMs: log.timeMs,
    outcome: record.outcome,
    wave,
    outMs: log.timeMs - (downSinceMs ?? log.timeMs),
  };
  host.permit = undefined;
  host.generation++;
  if (wave !== undefined && record.outcome === "done") {
    state.waves.get(wave)?.done.set(record.host, log.timeMs);
  }
  return APPLIED;
}

/**
 * Folds an observation of a host's health. A replacement ends the permit and
 * the move of the old host, whose records are refused from then on.
 */
export function foldHostObserved(
  state: FleetState,
  record: HostObserved,
  log: LogRecord,
): RecordOutcome {
  const host = state.hosts.get(record.host);
  if (host === undefined) return refuse("The host is unknown.");
  const problem = checkGeneration(host, record.generation);
  if (problem !== undefined) return refuse(problem);
  const { health } = record;
  if (health === host.health) return refuse("Nothing changes.");
  host.healthSinceMs = log.timeMs;
  host.healthReason = record.reason;
  if (health === "replaced") {
    // The replacement counts as unavailable until it is observed in service.
    host.health = "silent";
    host.generation++;
    host.permit = undefined;
    setMove(state, host, undefined);
    return APPLIED;
  }
  host.health = health;
  if (health !== "in-service" && host.permit !== undefined) {
    host.permit.downSinceMs ??= log.timeMs;
  }
  return APPLIED;
}

/** Returns the host that a decider's record names, or a reason to refuse it. */
export function findHostForDecision(
  state: FleetState,
  record: { scope: string; epoch: number; host: string; generation: number },
  log: LogRecord,
): HostState | string {
  const problem = checkTerm(state, record, log.timeMs);
  if (problem !== undefined) return problem;
  const host = state.hosts.get(record.host);
  const object = getOwn(state.set.hosts, record.host);
  if (host === undefined || object === undefined) return "The host is unknown.";
  if (object.data_centre !== record.scope) {
    return `The host belongs to data centre "${object.data_centre}".`;
  }
  return checkGeneration(host, record.generation) ?? host;
}

function checkGeneration(
  host: HostState,
  generation: number,
): string | undefined {
  if (host.generation === generation) return undefined;
  return `Generation ${generation} is not current; ${host.generation} is.`;
}
