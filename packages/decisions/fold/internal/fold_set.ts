/**
 * Folds changes of the object set, and updates the hosts and waves accordingly.
 *
 * @module
 */

import {
  applySetChange,
  checkObjectSet,
  OBJECT_KINDS,
  type ObjectSet,
  type SetChange,
} from "@lagoonloom/objects";
import type { ControlRecordOf, LogRecord } from "@lagoonloom/records";
import { isAvailable } from "../../budgets/pool_capacity.ts";
import { poolLimits, requiredHosts } from "../../budgets/pool_limits.ts";
import type { FleetState } from "../fleet_state.ts";
import type { RecordOutcome } from "../recent_outcome.ts";
import { indexHost, setMove } from "./host_index.ts";
import { APPLIED, getOwn, refuse } from "./outcomes.ts";

/** Limit on the history, which covers 80 minutes at 8,900 changes a day. */
export const MAX_HISTORY_ENTRIES = 500;

type SetChanged = ControlRecordOf<"set.changed">;

/** Folds a published change of the set, which takes effect as a whole. */
export function foldSetChanged(
  state: FleetState,
  record: SetChanged,
  log: LogRecord,
): RecordOutcome {
  if (record.expectedVersion !== state.setVersion) {
    return refuse(describeVersionConflict(state, record.expectedVersion));
  }
  const next = applySetChange(state.set, record.change);
  // Sorted, so that all daemons report the same problem: the order of the
  // objects depends on the checkpoint that a daemon started from.
  const problem = checkObjectSet(next)
    .map(({ kind, name, message }) => `${kind}/${name}: ${message}`)
    .sort()[0];
  if (problem !== undefined) return refuse(problem);
  const owner = findHostOfRemovedPool(state, next);
  if (owner !== undefined) {
    return refuse(`pools/${owner.pool} still owns host "${owner.host}".`);
  }
  const violated = findViolatedBudget(state, next, record.change);
  if (violated !== undefined) return refuse(violated);
  const previous = state.set;
  state.set = next;
  state.setVersion++;
  reconcileHosts(state, previous);
  reconcileWaves(state, previous, log.timeMs);
  addToHistory(state, record, log);
  return APPLIED;
}

function describeVersionConflict(state: FleetState, expected: number): string {
  const latest = state.history.at(-1);
  const publisher = latest === undefined
    ? ""
    : `; "${latest.operator}" published version ${latest.version}`;
  return `Expected version ${expected}, but version ${state.setVersion} is in force${publisher}.`;
}

/**
 * Returns the first pool by name that `next` lacks although it owns a host of
 * `next`, with the first such host.
 */
function findHostOfRemovedPool(state: FleetState, next: ObjectSet) {
  for (const pool of [...state.hostsByPool.keys()].sort()) {
    if (getOwn(next.pools, pool) !== undefined) continue;
    const host = [...state.hostsByPool.get(pool) ?? []].sort()
      .find((name) => getOwn(next.hosts, name) !== undefined);
    if (host !== undefined) return { pool, host };
  }
  return undefined;
}

/**
 * Returns the reason to refuse a change that removes hosts, or marks them as
 * leaving, and thereby violates a budget. Other changes are not checked: an
 * operator may raise a budget above the number of available hosts.
 */
function findViolatedBudget(
  state: FleetState,
  next: ObjectSet,
  change: SetChange,
): string | undefined {
  const pools = new Set<string>();
  const removed = change.removed.filter(({ kind }) => kind === "hosts");
  const leaving = Object.entries(change.put.hosts ?? {})
    .filter(([, host]) => host.state === "leaving").map(([name]) => name);
  for (const name of [...removed.map((object) => object.name), ...leaving]) {
    const owner = state.hosts.get(name)?.owner;
    if (owner !== undefined && isAvailable(state, name)) pools.add(owner);
  }
  for (const pool of [...pools].sort()) {
    const { total, available } = countHosts(state, next, pool);
    const { budget, value } = requiredHosts(poolLimits(next).get(pool), total);
    if (available < value) {
      return `budgets/${budget} demands ${value} hosts of "${pool}"; ${available} would be left.`;
    }
  }
  return undefined;
}

/** Counts the hosts that a pool has once the set `next` is in force. */
function countHosts(state: FleetState, next: ObjectSet, pool: string) {
  let total = 0;
  let available = 0;
  for (const [name, object] of Object.entries(next.hosts)) {
    const host = state.hosts.get(name);
    if ((host?.owner ?? object.pool) !== pool) continue;
    total++;
    const isHealthy = host === undefined ||
      (host.permit === undefined && host.health === "in-service");
    if (isHealthy && object.state === "in-service") available++;
  }
  return { total, available };
}

/**
 * Adds the state of new hosts and removes that of others. A known host that the
 * set assigns to another pool keeps its owner until it is moved.
 */
function reconcileHosts(state: FleetState, previous: ObjectSet): void {
  for (const [name, host] of state.hosts) {
    if (getOwn(state.set.hosts, name) !== undefined) continue;
    setMove(state, host, undefined);
    state.hosts.delete(name);
    state.hostsByPool.get(host.owner)?.delete(name);
    // A host that is added again starts above every generation of the removed
    // one, so that records of the removed host are still refused.
    state.firstHostGeneration = Math.max(
      state.firstHostGeneration,
      host.generation + 1,
    );
  }
  for (const [name, host] of Object.entries(state.set.hosts)) {
    const known = state.hosts.get(name);
    if (known !== undefined) {
      if (getOwn(previous.hosts, name)?.pool !== host.pool) {
        known.wish = host.pool === known.owner ? undefined : host.pool;
      }
      continue;
    }
    state.hosts.set(name, {
      owner: host.pool,
      generation: state.firstHostGeneration,
      health: "in-service",
      healthSinceMs: state.timeMs,
      healthReason: "added by the set",
      permit: undefined,
      move: undefined,
      lastReturn: undefined,
      wish: undefined,
      movedAtMs: 0,
    });
    indexHost(state, name, host.pool);
  }
}

/**
 * Removes the waves that the set lacks, and resumes those that it activates. A
 * finished wave then starts again.
 */
function reconcileWaves(
  state: FleetState,
  previous: ObjectSet,
  timeMs: number,
): void {
  for (const [name, wave] of state.waves) {
    const now = getOwn(state.set.waves, name);
    if (now === undefined) {
      state.waves.delete(name);
      continue;
    }
    const before = getOwn(previous.waves, name);
    if (now.state !== "active" || before?.state === "active") continue;
    if (wave.state === "finished") wave.done.clear();
    wave.state = "running";
    wave.reason = "resumed by the set";
    wave.sinceMs = timeMs;
    wave.resumedAtMs = timeMs;
  }
}

function addToHistory(
  state: FleetState,
  record: SetChanged,
  log: LogRecord,
): void {
  state.history.push({
    version: state.setVersion,
    recordId: log.id,
    offset: log.offset,
    timeMs: log.timeMs,
    operator: record.operator,
    put: listPut(record.change),
    removed: record.change.removed.map(({ kind, name }) => `${kind}/${name}`),
  });
  if (state.history.length > MAX_HISTORY_ENTRIES) state.history.shift();
}

function listPut(change: SetChange): string[] {
  return OBJECT_KINDS.flatMap((kind) =>
    Object.keys(change.put[kind] ?? {}).map((name) => `${kind}/${name}`)
  );
}
