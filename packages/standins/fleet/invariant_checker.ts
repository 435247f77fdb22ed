/**
 * Checks the invariants of a fleet after each record, for simulations.
 *
 * @module
 */

import type { FleetState, RecordOutcome } from "@lagoonloom/decisions";
import type { ObjectSet } from "@lagoonloom/objects";
import type { ControlRecord, LogRecord } from "@lagoonloom/records";

/** Descriptions of violated invariants by kind. */
export type Violations = {
  /** Planned outages that exceed a budget. */
  budget: string[];
  /** Owners that changed outside a move, and hosts with no or two owners. */
  owner: string[];
  /** Versions, generations and epochs that do not follow the previous ones. */
  revert: string[];
  /** Decisions that were applied with a stale epoch or an expired lease. */
  fenced: string[];
};

/** Checker of the invariants of a fleet. */
export type InvariantChecker = {
  violations: Violations;
  /** Checks a record that was just applied to the state. */
  check(state: FleetState, record: LogRecord, outcome: RecordOutcome): void;
};

/** Values after the previous record. */
type PreviousValues = {
  owners: Map<string, { owner: string; generation: number }>;
  setVersion: number;
  generation: number;
  leases: Map<string, { epoch: number; endMs: number }>;
};

/**
 * Creates a checker that must see all records from the first one on. It counts
 * the hosts itself, so that it also finds errors in the counts that the budgets
 * use.
 *
 * @example
 * ```ts
 * const checker = createInvariantChecker();
 * checker.check(state, record, applyRecord(state, record));
 * ```
 */
export function createInvariantChecker(): InvariantChecker {
  const violations: Violations = {
    budget: [],
    owner: [],
    revert: [],
    fenced: [],
  };
  const previous: PreviousValues = {
    owners: new Map(),
    setVersion: 0,
    generation: 0,
    leases: new Map(),
  };
  return {
    violations,
    check(state, record, outcome) {
      const body = record.body as ControlRecord;
      const applied = outcome.type === "applied" ? body : undefined;
      checkVersions(state, previous, { applied, violations });
      checkFencing(previous, record, { applied, violations });
      checkOwners(state, previous, { applied, violations });
      if (applied !== undefined) checkBudgets(state, applied, violations);
    },
  };
}

/** Body of the record if it was applied, and the list of violations. */
type CheckedRecord = {
  applied: ControlRecord | undefined;
  violations: Violations;
};

function checkVersions(
  state: FleetState,
  previous: PreviousValues,
  { applied, violations }: CheckedRecord,
): void {
  const increment = applied?.type === "set.changed" ? 1 : 0;
  if (state.setVersion !== previous.setVersion + increment) {
    violations.revert.push(
      `set version ${previous.setVersion} -> ${state.setVersion}`,
    );
  }
  if (state.generation < previous.generation) {
    violations.revert.push(
      `member generation ${previous.generation} -> ${state.generation}`,
    );
  }
  previous.setVersion = state.setVersion;
  previous.generation = state.generation;
}

/** Checks that a decision has the current epoch and a valid lease. */
function checkFencing(
  previous: PreviousValues,
  { timeMs }: LogRecord,
  { applied, violations }: CheckedRecord,
): void {
  if (applied === undefined || !("epoch" in applied)) return;
  const { scope, epoch } = applied;
  const lease = previous.leases.get(scope);
  if (applied.type === "decider.claimed") {
    if (epoch < (lease?.epoch ?? 0)) violations.revert.push(`epoch ${epoch}`);
    previous.leases.set(scope, { epoch, endMs: timeMs + applied.leaseMs });
  } else if (lease?.epoch !== epoch || timeMs >= lease.endMs) {
    violations.fenced.push(`${applied.type} of ${scope} at epoch ${epoch}`);
  }
}

function checkOwners(
  state: FleetState,
  previous: PreviousValues,
  { applied, violations }: CheckedRecord,
): void {
  // Checks all hosts after a change of the set and otherwise only the host that
  // the record names, which keeps the check cheap for large fleets.
  const isSetChange = applied?.type === "set.changed";
  const affected = applied !== undefined && "host" in applied
    ? [applied.host]
    : [];
  const names = isSetChange ? [...state.hosts.keys()] : affected;
  for (const name of names) {
    const host = state.hosts.get(name);
    if (host === undefined) continue;
    const before = previous.owners.get(name);
    const mayChangeOwner = before === undefined ||
      (applied?.type === "move.advanced" && applied.step === "finished");
    if (!mayChangeOwner && before.owner !== host.owner) {
      violations.owner.push(`${name}: ${before.owner} -> ${host.owner}`);
    }
    if (before !== undefined && host.generation < before.generation) {
      violations.owner.push(`${name}: generation ${host.generation}`);
    }
    const pools = [...state.hostsByPool].filter(([, hosts]) => hosts.has(name));
    if (pools.length !== 1 || pools[0]?.[0] !== host.owner) {
      violations.owner.push(`${name} is in ${pools.length} pools`);
    }
    const { owner, generation } = host;
    previous.owners.set(name, { owner, generation });
  }
}

/**
 * Checks that no permit or finished move exceeds a budget. For permits, failed
 * hosts count as unavailable too.
 */
function checkBudgets(
  state: FleetState,
  applied: ControlRecord,
  violations: Violations,
): void {
  const isPermit = applied.type === "permit.granted";
  const isMove = applied.type === "move.advanced" &&
    applied.step === "finished";
  if (!isPermit && !isMove) return;
  const owner = state.hosts.get(applied.host)?.owner ?? "";
  const { total, planned, failed, perRack } = countPool(state, owner);
  const wasDown = isPermit &&
    state.hosts.get(applied.host)?.health !== "in-service";
  for (const [name, budget] of Object.entries(state.set.budgets)) {
    if (state.set.services[budget.service]?.pool !== owner) continue;
    const required = requiredOf(budget, total);
    // A move that does not raise the required number is not blamed for failed
    // hosts, and neither is a permit for a host that was down already.
    const countsFailures = isPermit
      ? !wasDown
      : required > requiredOf(budget, total - 1);
    const available = total - planned - (countsFailures ? failed : 0);
    if (available < required) {
      violations.budget.push(
        `${name}: ${available} of ${total}, ${applied.host}`,
      );
    }
    const maxOutOfRack = Math.max(0, ...perRack.values());
    if (isPermit && maxOutOfRack > (budget.max_out_per_rack ?? Infinity)) {
      violations.budget.push(`${name}: ${maxOutOfRack} out in one rack`);
    }
  }
}

function requiredOf(budget: ObjectSet["budgets"][string], total: number) {
  const percent = budget.min_available_percent ?? 0;
  return Math.max(
    budget.min_available ?? 0,
    Math.ceil(percent * total / 100 - 1e-9),
  );
}

function countPool(state: FleetState, pool: string) {
  const perRack = new Map<string, number>();
  let total = 0;
  let planned = 0;
  let failed = 0;
  for (const [name, host] of state.hosts) {
    if (host.owner !== pool) continue;
    total++;
    if (host.permit === undefined) {
      if (host.health !== "in-service") failed++;
      continue;
    }
    planned++;
    const object = state.set.hosts[name];
    const rack = `${object?.data_centre}/${object?.rack}`;
    perRack.set(rack, (perRack.get(rack) ?? 0) + 1);
  }
  return { total, planned, failed, perRack };
}
