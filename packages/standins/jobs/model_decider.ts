import {
  applyRecord,
  createJobControl,
  emptyFleetState,
  type FleetState,
  getActiveTerm,
  type JobControl,
  type JobRole,
  OFFLINE_RENEWAL_MS,
  planDeciderClaim,
  type PlannedRecord,
  type WorkerCall,
  type WorkerOutcome,
} from "@lagoonloom/decisions";
import { appendToLog, type ModelLog, readLog } from "../fleet/model_log.ts";

/** Decider of one data centre's jobs, with its faults. */
export type ModelDecider = {
  name: string;
  scope: string;
  incarnation: number;
  state: FleetState;
  control: JobControl;
  /** Cut from the log until this time. */
  logUnreachableUntilMs: number;
  crashedUntilMs: number;
  /** Records and calls that are still sent before a crash, if one is due. */
  crash: { afterActions: number; downMs: number } | undefined;
  blockedReasons: Map<string, string>;
  planningTimesMs: number[];
};

/** Creates a decider without state. */
export function createModelDecider(name: string, scope: string): ModelDecider {
  return {
    name,
    scope,
    incarnation: 1,
    state: emptyFleetState(),
    control: createJobControl({ scope, holder: name }),
    logUnreachableUntilMs: 0,
    crashedUntilMs: 0,
    crash: undefined,
    blockedReasons: new Map(),
    planningTimesMs: [],
  };
}

/** What a decider reaches. */
export type DeciderEnvironment = {
  log: ModelLog;
  nowMs: number;
  /** Policy options of the plan. */
  mayPreempt: boolean;
  send(call: WorkerCall, answer: (outcome: WorkerOutcome) => void): void;
  clock(): number;
};

/**
 * Runs one round of a decider.
 *
 * @example
 * ```ts
 * stepDecider(decider, world);
 * ```
 */
export function stepDecider(
  decider: ModelDecider,
  world: DeciderEnvironment,
): void {
  const { nowMs, log } = world;
  if (nowMs < decider.crashedUntilMs) return;
  const isCut = nowMs < decider.logUnreachableUntilMs;
  const records = isCut ? undefined : readLog(log, decider.state.nextOffset, {
    nowMs,
  });
  for (const record of records ?? []) applyRecord(decider.state, record);
  const { name: holder, scope } = decider;
  const identity = {
    holder,
    scope,
    incarnation: `i${decider.incarnation}`,
    nowMs,
  };
  if (!join(decider, { isCut, nowMs, log })) return;
  const claim = planDeciderClaim(decider.state, identity);
  if (claim !== undefined && !isCut) appendToLog(log, claim, world);
  const startedAt = performance.now();
  const steps = decider.control.advance(decider.state, {
    role: roleOf(decider, identity),
    nowMs,
    mayPreempt: world.mayPreempt,
    hasFolded: () => false,
  });
  decider.planningTimesMs.push(performance.now() - startedAt);
  for (const [job, reason] of steps.blocked) {
    decider.blockedReasons.set(job, reason);
  }
  for (const record of steps.records) {
    if (crashes(decider, nowMs)) return;
    if (!isCut) appendToLog(log, record, world);
  }
  const { control } = decider;
  for (const call of steps.calls) {
    if (crashes(decider, nowMs)) return;
    world.send(call, (outcome) => {
      const times = { sentAtMs: nowMs, nowMs: world.clock() };
      // The answer to a process that has ended reaches nobody.
      if (decider.control === control) {
        control.noteOutcome(call, outcome, times);
      }
    });
  }
}

function roleOf(
  { state, scope, name }: ModelDecider,
  identity: Parameters<typeof getActiveTerm>[1],
): JobRole | undefined {
  const term = getActiveTerm(state, identity);
  if (term !== undefined) return { type: "decider", term };
  const last = state.deciders.get(scope);
  const isLast = last?.holder === name &&
    last.incarnation === identity.incarnation;
  if (!isLast || identity.nowMs > last.leaseEndMs + OFFLINE_RENEWAL_MS) {
    return undefined;
  }
  return { type: "keeper", term: { scope, epoch: last.epoch } };
}

/** Joins the membership; false until the join is folded. */
function join(
  { state, name, scope, incarnation }: ModelDecider,
  options: { isCut: boolean; nowMs: number; log: ModelLog },
): boolean {
  const wanted = `i${incarnation}`;
  if (state.members.get(name)?.incarnation === wanted) return true;
  if (options.isCut) return false;
  const record: PlannedRecord = {
    id: `join-${name}-${wanted}`,
    body: {
      type: "member.joined",
      member: name,
      incarnation: wanted,
      dataCentre: scope,
      peerAddress: "127.0.0.1:1",
      operatorAddress: "127.0.0.1:2",
    },
  };
  appendToLog(options.log, record, options);
  return false;
}

/** Counts an action; true if the process crashes before it. */
function crashes(decider: ModelDecider, nowMs: number): boolean {
  if (decider.crash === undefined || decider.crash.afterActions-- > 0) {
    return false;
  }
  decider.crashedUntilMs = nowMs + decider.crash.downMs;
  decider.crash = undefined;
  decider.incarnation++;
  decider.state = emptyFleetState();
  const { scope, name: holder } = decider;
  decider.control = createJobControl({ scope, holder });
  return true;
}
