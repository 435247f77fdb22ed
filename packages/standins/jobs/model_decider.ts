/**
 * Simulates a decider that places the jobs of one data centre, with crashes and
 * loss of the log.
 *
 * @module
 */

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

/** Simulated decider and its faults. */
export type ModelDecider = {
  name: string;
  /** Data centre whose jobs it places. */
  scope: string;
  /** Number of the process; a restart after a crash increments it. */
  incarnation: number;
  /** State that results from the records applied so far. */
  state: FleetState;
  control: JobControl;
  /** Time in milliseconds until which it can neither read nor append. */
  logUnreachableUntilMs: number;
  crashedUntilMs: number;
  /** Crash that begins after a number of further records and calls. */
  crash: { afterActions: number; downMs: number } | undefined;
  /** Latest reason why a job was not placed, by job. */
  blockedReasons: Map<string, string>;
  /** Time in milliseconds that each planning round took. */
  planningTimesMs: number[];
};

/** Creates a decider that has applied no records yet. */
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

/** Log, workers and clock that a decider works with. */
export type DeciderEnvironment = {
  log: ModelLog;
  /** Time at which the round begins. */
  nowMs: number;
  /** Whether jobs may be stopped in favour of more urgent ones. */
  mayPreempt: boolean;
  /** Sends a call to a worker; `answer` is called with its outcome later. */
  send(call: WorkerCall, answer: (outcome: WorkerOutcome) => void): void;
  /** Returns the current time, for outcomes that arrive after the round. */
  clock(): number;
};

/**
 * Runs one round of a decider: applies new records, renews its claim, plans,
 * and sends the planned records and calls.
 *
 * @example
 * ```ts
 * stepDecider(decider, environment);
 * ```
 */
export function stepDecider(
  decider: ModelDecider,
  environment: DeciderEnvironment,
): void {
  const { nowMs, log } = environment;
  if (nowMs < decider.crashedUntilMs) return;
  const isLogUnreachable = nowMs < decider.logUnreachableUntilMs;
  const records = isLogUnreachable
    ? undefined
    : readLog(log, decider.state.nextOffset, {
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
  if (!ensureMembership(decider, { isLogUnreachable, nowMs, log })) {
    return;
  }
  const claim = planDeciderClaim(decider.state, identity);
  if (claim !== undefined && !isLogUnreachable) {
    appendToLog(log, claim, environment);
  }
  const startedAtMs = performance.now();
  const steps = decider.control.advance(decider.state, {
    role: getRole(decider, identity),
    nowMs,
    mayPreempt: environment.mayPreempt,
    hasFolded: () => false,
  });
  decider.planningTimesMs.push(performance.now() - startedAtMs);
  for (const [job, reason] of steps.blocked) {
    decider.blockedReasons.set(job, reason);
  }
  for (const record of steps.records) {
    if (crashBeforeAction(decider, nowMs)) return;
    if (!isLogUnreachable) appendToLog(log, record, environment);
  }
  const { control } = decider;
  for (const call of steps.calls) {
    if (crashBeforeAction(decider, nowMs)) return;
    environment.send(call, (outcome) => {
      const timing = { sentAtMs: nowMs, nowMs: environment.clock() };
      // Drops answers to calls from before a crash.
      if (decider.control === control) {
        control.recordOutcome(call, outcome, timing);
      }
    });
  }
}

function getRole(
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
  return { type: "renewer", term: { scope, epoch: last.epoch } };
}

/** Joins the membership; returns false until the state contains the join. */
function ensureMembership(
  { state, name, scope, incarnation }: ModelDecider,
  options: { isLogUnreachable: boolean; nowMs: number; log: ModelLog },
): boolean {
  const incarnationId = `i${incarnation}`;
  if (state.members.get(name)?.incarnation === incarnationId) return true;
  if (options.isLogUnreachable) return false;
  const record: PlannedRecord = {
    id: `join-${name}-${incarnationId}`,
    body: {
      type: "member.joined",
      member: name,
      incarnation: incarnationId,
      dataCentre: scope,
      peerAddress: "127.0.0.1:1",
      operatorAddress: "127.0.0.1:2",
    },
  };
  appendToLog(options.log, record, options);
  return false;
}

/** Counts an action; crashes and returns true if a crash is due before it. */
function crashBeforeAction(decider: ModelDecider, nowMs: number): boolean {
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
