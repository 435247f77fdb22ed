/**
 * Folds the steps of moves of hosts between pools.
 *
 * @module
 */

import type { ControlRecordOf, LogRecord } from "@lagoonloom/records";
import { findJoinBlocker } from "../../budgets/find_join_blocker.ts";
import type { FleetState, HostState } from "../fleet_state.ts";
import type { RecordOutcome } from "../recent_outcome.ts";
import { findHostForDecision } from "./fold_permit.ts";
import { indexHost, setMove } from "./host_index.ts";
import { APPLIED, getOwn, refuse } from "./outcomes.ts";

type MoveAdvanced = ControlRecordOf<"move.advanced">;

/** Folds a step of a move; only the step `finished` changes the owner. */
export function foldMoveAdvanced(
  state: FleetState,
  record: MoveAdvanced,
  log: LogRecord,
): RecordOutcome {
  const host = findHostForDecision(state, record, log);
  if (typeof host === "string") return refuse(host);
  if (record.step === "started") return startMove(state, host, { record, log });
  if (host.move === undefined) return refuse("No move is under way.");
  if (host.move.to !== record.to) {
    return refuse(`The host moves to "${host.move.to}".`);
  }
  switch (record.step) {
    case "emptied":
      if (host.move.step !== "started") return refuse("The host is emptied.");
      host.move.step = "emptied";
      return APPLIED;
    case "finished":
      return finishMove(state, host, { record, log });
    case "abandoned":
      setMove(state, host, undefined);
      host.generation++;
      return APPLIED;
  }
}

type MoveStep = { record: MoveAdvanced; log: LogRecord };

function startMove(
  state: FleetState,
  host: HostState,
  { record, log }: MoveStep,
): RecordOutcome {
  if (host.permit?.purpose !== "move") {
    return refuse("No permit for a move is open.");
  }
  if (host.move !== undefined) return refuse("A move is under way.");
  if (record.to === host.owner) return refuse("The pool owns the host.");
  if (getOwn(state.set.pools, record.to) === undefined) {
    return refuse(`Pool "${record.to}" is unknown.`);
  }
  const minimum = getOwn(state.set.pools, host.owner)?.min_hosts ?? 0;
  if (countRemainingHosts(state, host.owner) - 1 < minimum) {
    return refuse(`Pool "${host.owner}" keeps at least ${minimum} hosts.`);
  }
  setMove(state, host, {
    to: record.to,
    step: "started",
    reason: record.reason,
    startedAtMs: log.timeMs,
  });
  return APPLIED;
}

/** Returns the number of a pool's hosts that are not moving to another one. */
export function countRemainingHosts(state: FleetState, pool: string): number {
  let remaining = 0;
  for (const name of state.hostsByPool.get(pool) ?? []) {
    if (state.hosts.get(name)?.move === undefined) remaining++;
  }
  return remaining;
}

function finishMove(
  state: FleetState,
  host: HostState,
  { record, log }: MoveStep,
): RecordOutcome {
  if (host.move?.step !== "emptied") return refuse("The host is not emptied.");
  if (getOwn(state.set.pools, record.to) === undefined) {
    return refuse(`Pool "${record.to}" is unknown.`);
  }
  const problem = findJoinBlocker(state, record.to);
  if (problem !== undefined) return refuse(problem);
  state.hostsByPool.get(host.owner)?.delete(record.host);
  indexHost(state, record.host, record.to);
  host.owner = record.to;
  setMove(state, host, undefined);
  if (host.wish === record.to) host.wish = undefined;
  host.movedAtMs = log.timeMs;
  host.generation++;
  return APPLIED;
}
