/**
 * Loop in which the decider of a data centre places jobs on its workers.
 *
 * @module
 */

import {
  createJobControl,
  type DeciderIdentity,
  type FleetState,
  getActiveTerm,
  type JobControl,
  type JobRole,
  OFFLINE_RENEWAL_MS,
  type PlannedRecord,
  type WorkerCall,
} from "@lagoonloom/decisions";
import type { LogRecord } from "@lagoonloom/records";
import type { EventLog } from "@lagoonloom/telemetry";
import type { WorkerClient } from "@lagoonloom/workers";
import type { FoldedOutcome } from "../append_and_fold.ts";
import { createLogClock } from "../capacity/log_clock.ts";
import type { ControlFold } from "../control_fold.ts";

/**
 * Longest time in milliseconds between two rounds. A change to a job or worker
 * makes the next tick run a round at once, since an urgent job may need several
 * rounds to start: the jobs that it preempts are checkpointed and stopped,
 * their ends are recorded, and then the urgent job is placed and started.
 */
export const ROUND_INTERVAL_MS = 500;

/** Dependencies of {@linkcode createJobLoop}. */
export type JobLoopDependencies = {
  name: string;
  incarnation: () => string;
  fold: ControlFold;
  isReady: () => boolean;
  /** Whether the log was read recently enough to decide on the folded state. */
  logIsFresh: () => boolean;
  /**
   * Whether no other member can have reported this one as lost without its
   * knowledge.
   */
  hasMemberRights: () => boolean;
  /** Returns the log offset up to which a member has folded, as last heard. */
  memberOffset: (member: string) => number | undefined;
  append: (record: PlannedRecord) => Promise<FoldedOutcome>;
  workers: Pick<WorkerClient, "call">;
  events: EventLog;
};

/** Loop that places the jobs of data centres and calls their workers. */
export type JobLoop = {
  /** Runs a round if one is due. */
  tick(nowMs: number): void;
};

type ScopeState = {
  control: JobControl;
  /** Whether it only renewed leases in the last round. */
  isRenewer: boolean;
  /** Logged reasons of the jobs that no worker can run. */
  blocked: Map<string, string>;
};

/**
 * Creates the loop for jobs. Only the daemon that holds the decider's lease of
 * a data centre, which the decider loop claims, places jobs there. When it
 * can't read the log, it only renews the leases of running tasks, and only if
 * it was the last decider that it knows of.
 *
 * @example
 * ```ts
 * const jobs = createJobLoop(dependencies);
 * jobs.tick(performance.now());
 * ```
 */
export function createJobLoop(dependencies: JobLoopDependencies): JobLoop {
  const { fold, name, events } = dependencies;
  const scopes = new Map<string, ScopeState>();
  const logNowMs = createLogClock(fold);
  let dueAtMs = 0;
  fold.onChange((change) => {
    const isOnJobs = change.type === "record" &&
      /^(job|worker)\./.test(String(typeOf(change.record)));
    if (isOnJobs) dueAtMs = 0;
  });
  function scopeState(scope: string): ScopeState {
    let found = scopes.get(scope);
    if (found === undefined) {
      found = {
        control: createJobControl({ scope, holder: name }),
        isRenewer: false,
        blocked: new Map(),
      };
      scopes.set(scope, found);
    }
    return found;
  }
  function runRound(scope: string): void {
    const state = fold.state();
    const scopeJobs = scopeState(scope);
    const nowMs = logNowMs();
    const incarnation = dependencies.incarnation();
    const identity = { holder: name, incarnation, scope, nowMs };
    const role = roleOf(state, identity, dependencies);
    const isRenewer = role?.type === "renewer";
    if (isRenewer && !scopeJobs.isRenewer) {
      events.log("leasesKept", { dataCentre: scope });
    }
    scopeJobs.isRenewer = isRenewer;
    const steps = scopeJobs.control.advance(state, {
      role,
      nowMs,
      hasFolded: (member, offset) =>
        (dependencies.memberOffset(member) ?? 0) >= offset,
    });
    for (const record of steps.records) void send(scopeJobs, record);
    for (const call of steps.calls) void callWorker(scopeJobs, call);
    reportBlocked(scopeJobs, steps.blocked);
  }
  async function send(
    scopeJobs: ScopeState,
    record: PlannedRecord,
  ): Promise<void> {
    const result = await dependencies.append(record);
    if (result.type === "not-appended") {
      scopeJobs.control.recordNotAppended(record.id);
    }
    if (result.type !== "folded") return;
    if (result.outcome.type === "applied") logRecord(events, record);
  }
  async function callWorker(
    scopeJobs: ScopeState,
    call: WorkerCall,
  ): Promise<void> {
    const sentAtMs = logNowMs();
    const address = fold.state().set.hosts[call.worker]?.worker_address;
    const outcome = address === undefined
      ? { type: "unreachable" as const, reason: "the worker has no address" }
      : await dependencies.workers.call(address, call);
    const times = { sentAtMs, nowMs: logNowMs() };
    scopeJobs.control.recordOutcome(call, outcome, times);
    if ("job" in call) dueAtMs = 0;
    if (outcome.type === "done" || outcome.type === "report") return;
    const { worker, type } = call;
    events.log("taskCallFailed", {
      worker,
      call: type,
      reason: outcome.reason,
    });
  }
  function reportBlocked(
    scopeJobs: ScopeState,
    blocked: Map<string, string>,
  ): void {
    for (const [job, reason] of blocked) {
      if (scopeJobs.blocked.get(job) === reason) continue;
      events.log("jobBlocked", { job, reason });
    }
    scopeJobs.blocked = blocked;
  }
  return {
    tick(nowMs) {
      if (nowMs < dueAtMs || !dependencies.isReady()) return;
      dueAtMs = nowMs + ROUND_INTERVAL_MS;
      const { hosts } = fold.state().set;
      const dataCentres = new Set<string>();
      for (const host of Object.values(hosts)) {
        if (host.worker_address !== undefined) {
          dataCentres.add(host.data_centre);
        }
      }
      for (const scope of dataCentres) runRound(scope);
    },
  };
}

function roleOf(
  state: FleetState,
  identity: DeciderIdentity & { scope: string; nowMs: number },
  { logIsFresh, hasMemberRights }: JobLoopDependencies,
): JobRole | undefined {
  const term = logIsFresh() ? getActiveTerm(state, identity) : undefined;
  if (term !== undefined) return { type: "decider", term };
  const { scope, holder, incarnation, nowMs } = identity;
  const last = state.deciders.get(scope);
  const isLast = last?.holder === holder && last.incarnation === incarnation;
  if (!isLast || nowMs > last.leaseEndMs + OFFLINE_RENEWAL_MS) return undefined;
  if (!hasMemberRights()) return undefined;
  return { type: "renewer", term: { scope, epoch: last.epoch } };
}

function typeOf({ body }: LogRecord): unknown {
  return (body as { type?: unknown } | null)?.type;
}

function logRecord(events: EventLog, { body }: PlannedRecord): void {
  switch (body.type) {
    case "job.placed": {
      const { job, attempt, worker, reason } = body;
      return events.log("jobPlaced", { job, attempt, worker, reason });
    }
    case "job.ended": {
      const { job, attempt, outcome, reason } = body;
      return events.log("jobEnded", { job, attempt, outcome, reason });
    }
    case "job.parked": {
      const { job, reason } = body;
      return events.log("jobParked", { job, reason });
    }
    case "worker.changed": {
      const { worker, state, reason } = body;
      return events.log("workerChanged", { worker, state, reason });
    }
  }
}
