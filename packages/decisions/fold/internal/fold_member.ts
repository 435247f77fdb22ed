/**
 * Folds joins, leaves, losses and watchers of entry hosts.
 *
 * @module
 */

import type { ControlRecordOf, LogRecord } from "@lagoonloom/records";
import type { FleetState } from "../fleet_state.ts";
import type { RecordOutcome } from "../recent_outcome.ts";
import { APPLIED, refuse } from "./outcomes.ts";

/** Limit on the ended incarnations that are kept for each member. */
const MAX_ENDED_INCARNATIONS = 16;

type MemberJoined = ControlRecordOf<"member.joined">;
type MemberLeft = ControlRecordOf<"member.left">;
type MemberLost = ControlRecordOf<"member.lost">;
type MemberWatched = ControlRecordOf<"member.watched">;

/** Folds a join, which ends the previous incarnation of the same name. */
export function foldMemberJoined(
  state: FleetState,
  record: MemberJoined,
  log: LogRecord,
): RecordOutcome {
  const { member: name, incarnation } = record;
  const current = state.members.get(name);
  if (current?.incarnation === incarnation) {
    return refuse(`Incarnation "${incarnation}" of "${name}" has joined.`);
  }
  if (state.endedIncarnations.get(name)?.includes(incarnation) === true) {
    return refuse(`Incarnation "${incarnation}" of "${name}" has ended.`);
  }
  if (current !== undefined) endIncarnation(state, name);
  const { watcher } = record;
  const isEligible = watcher !== undefined && watcher !== name &&
    state.members.get(watcher)?.dataCentre === record.dataCentre;
  state.members.set(name, {
    name,
    incarnation,
    dataCentre: record.dataCentre,
    peerAddress: record.peerAddress,
    operatorAddress: record.operatorAddress,
    watcher: isEligible ? watcher : undefined,
    joinedAtMs: log.timeMs,
  });
  state.generation++;
  return APPLIED;
}

/** Folds the leave of a member that stops. */
export function foldMemberLeft(
  state: FleetState,
  record: MemberLeft,
): RecordOutcome {
  const problem = checkIncarnation(state, record);
  if (problem !== undefined) return refuse(problem);
  endIncarnation(state, record.member);
  state.generation++;
  return APPLIED;
}

/** Folds the loss of a member, which only its watcher may report. */
export function foldMemberLost(
  state: FleetState,
  record: MemberLost,
): RecordOutcome {
  const problem = checkIncarnation(state, record);
  if (problem !== undefined) return refuse(problem);
  const watcher = state.members.get(record.member)?.watcher;
  if (watcher !== record.watcher || !state.members.has(record.watcher)) {
    return refuse(
      `"${record.watcher}" is not the watcher of "${record.member}".`,
    );
  }
  endIncarnation(state, record.member);
  state.generation++;
  return APPLIED;
}

/** Folds the choice of a watcher, which must be in the same data centre. */
export function foldMemberWatched(
  state: FleetState,
  record: MemberWatched,
): RecordOutcome {
  const problem = checkIncarnation(state, record);
  if (problem !== undefined) return refuse(problem);
  const member = state.members.get(record.member);
  const watcher = state.members.get(record.watcher);
  if (member === undefined || watcher === undefined || member === watcher) {
    return refuse(`"${record.watcher}" cannot watch "${record.member}".`);
  }
  if (member.dataCentre !== watcher.dataCentre) {
    return refuse(`"${record.watcher}" is in another data centre.`);
  }
  if (member.watcher === watcher.name) return refuse("Nothing changes.");
  member.watcher = watcher.name;
  return APPLIED;
}

function checkIncarnation(
  state: FleetState,
  record: { member: string; incarnation: string },
): string | undefined {
  const member = state.members.get(record.member);
  if (member === undefined) return `"${record.member}" is not a member.`;
  if (member.incarnation === record.incarnation) return undefined;
  return `Incarnation "${member.incarnation}" of "${record.member}" is current.`;
}

function endIncarnation(state: FleetState, name: string): void {
  const member = state.members.get(name);
  if (member === undefined) return;
  const ended = state.endedIncarnations.get(name) ?? [];
  ended.push(member.incarnation);
  if (ended.length > MAX_ENDED_INCARNATIONS) ended.shift();
  state.endedIncarnations.set(name, ended);
  state.members.delete(name);
  // The next incarnation of this name does not inherit its role as a watcher.
  for (const other of state.members.values()) {
    if (other.watcher === name) other.watcher = undefined;
  }
}
