import type { FleetState, RecordOutcome } from "@lagoonloom/decisions";
import type { ObjectSet } from "@lagoonloom/objects";
import type { ControlRecord, LogRecord } from "@lagoonloom/records";

/** Violations of the invariants by kind, with their descriptions. */
export type Violations = {
  budget: string[];
  owner: string[];
  revert: string[];
  fenced: string[];
};

/** Checks the invariants after each record, with counts of its own. */
export type InvariantChecker = {
  violations: Violations;
  check(state: FleetState, record: LogRecord, outcome: RecordOutcome): void;
};

type Seen = {
  owners: Map<string, { owner: string; generation: number }>;
  setVersion: number;
  generation: number;
  leases: Map<string, { epoch: number; endMs: number }>;
};

/**
 * Creates a checker of one fold from its first record on. It counts hosts by
 * itself, so that a fault in the budgets' own counts is found.
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
  const seen: Seen = {
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
      checkVersions(state, seen, { applied, violations });
      checkTerms(seen, record, { applied, violations });
      checkOwners(state, seen, { applied, violations });
      if (applied !== undefined) checkBudgets(state, applied, violations);
    },
  };
}

type Context = { applied: ControlRecord | undefined; violations: Violations };

function checkVersions(
  state: FleetState,
  seen: Seen,
  { applied, violations }: Context,
): void {
  const step = applied?.type === "set.changed" ? 1 : 0;
  if (state.setVersion !== seen.setVersion + step) {
    violations.revert.push(`set ${seen.setVersion} -> ${state.setVersion}`);
  }
  if (state.generation < seen.generation) {
    violations.revert.push(`members ${seen.generation}`);
  }
  seen.setVersion = state.setVersion;
  seen.generation = state.generation;
}

/** An applied decision belongs to the last epoch, within its lease. */
function checkTerms(
  seen: Seen,
  { timeMs }: LogRecord,
  { applied, violations }: Context,
): void {
  if (applied === undefined || !("epoch" in applied)) return;
  const { scope, epoch } = applied;
  const lease = seen.leases.get(scope);
  if (applied.type === "decider.claimed") {
    if (epoch < (lease?.epoch ?? 0)) violations.revert.push(`epoch ${epoch}`);
    seen.leases.set(scope, { epoch, endMs: timeMs + applied.leaseMs });
  } else if (lease?.epoch !== epoch || timeMs >= lease.endMs) {
    violations.fenced.push(`${applied.type} of ${scope} at epoch ${epoch}`);
  }
}

function checkOwners(
  state: FleetState,
  seen: Seen,
  { applied, violations }: Context,
): void {
  // Only these records may change an owner; every record is checked for the
  // host that it names, which keeps the check cheap for large fleets.
  const isWhole = applied?.type === "set.changed";
  const named = applied !== undefined && "host" in applied
    ? [applied.host]
    : [];
  const names = isWhole ? [...state.hosts.keys()] : named;
  for (const name of names) {
    const host = state.hosts.get(name);
    if (host === undefined) continue;
    const before = seen.owners.get(name);
    const mayMove = before === undefined ||
      (applied?.type === "move.advanced" && applied.step === "finished");
    if (!mayMove && before.owner !== host.owner) {
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
    seen.owners.set(name, { owner, generation });
  }
}

/** Planned stops never break a budget; a permit also counts failed hosts. */
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
    // Failures are no fault of a move that leaves the demand as it was, nor of
    // a permit for a host that was down already.
    const isCause = isPermit
      ? !wasDown
      : required > requiredOf(budget, total - 1);
    const left = total - planned - (isCause ? failed : 0);
    if (left < required) {
      violations.budget.push(`${name}: ${left} of ${total}, ${applied.host}`);
    }
    const most = Math.max(0, ...perRack.values());
    if (isPermit && most > (budget.max_out_per_rack ?? Infinity)) {
      violations.budget.push(`${name}: ${most} out in one rack`);
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
