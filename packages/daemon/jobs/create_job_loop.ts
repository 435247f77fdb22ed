import {
  createJobControl,
  type DeciderIdentity,
  type FleetState,
  type JobControl,
  type JobRole,
  mayDecide,
  OFFLINE_RENEWAL_MS,
  planClaim,
  type PlannedRecord,
  type WorkerCall,
} from "@lagoonloom/decisions";
import type { LogRecord } from "@lagoonloom/records";
import type { EventLog } from "@lagoonloom/telemetry";
import type { WorkerClient } from "@lagoonloom/workers";
import type { FoldedOutcome } from "../append_and_fold.ts";
import type { ControlFold } from "../control_fold.ts";

/**
 * Longest time in milliseconds between two rounds. After a change the next step
 * of the daemon's loop runs one, since urgent work waits for several: to save,
 * stop and end the jobs in its place, to be placed, and to start.
 */
export const ROUND_MS = 500;

/** Time in milliseconds between two claims of a scope by one daemon. */
const CLAIM_INTERVAL_MS = 1_000;

/** What the loop needs of the daemon. */
export type JobLoopDependencies = {
  name: string;
  incarnation: () => string;
  fold: ControlFold;
  isReady: () => boolean;
  /** Whether this member's loss cannot have been reported unnoticed. */
  hasMemberRights: () => boolean;
  /** Offset that a member was last heard to have folded. */
  memberOffset: (member: string) => number | undefined;
  append: (record: PlannedRecord) => Promise<FoldedOutcome>;
  workers: Pick<WorkerClient, "call">;
  events: EventLog;
};

/** Loop that decides on jobs. */
export type JobLoop = {
  /** Runs a round if one is due. */
  tick(nowMs: number): void;
};

type Scope = {
  control: JobControl;
  claimedAtMs: number;
  isKeeping: boolean;
  blocked: Map<string, string>;
};

/**
 * Creates the loop for jobs. Only the daemon that holds the decider's lease of
 * a data centre places jobs on its workers. Without the log it only renews the
 * leases of running tasks, while it is surely the last that decided.
 *
 * @example
 * ```ts
 * const jobs = createJobLoop(dependencies);
 * jobs.tick(performance.now());
 * ```
 */
export function createJobLoop(dependencies: JobLoopDependencies): JobLoop {
  const { fold, name, events } = dependencies;
  const scopes = new Map<string, Scope>();
  const logClock = createLogClock(fold);
  let dueAtMs = 0;
  fold.onChange((change) => {
    const isOnJobs = change.type === "record" &&
      /^(job|worker)\./.test(String(typeOf(change.record)));
    if (isOnJobs) dueAtMs = 0;
  });
  function scopeOf(scope: string): Scope {
    let found = scopes.get(scope);
    if (found === undefined) {
      found = {
        control: createJobControl({ scope, holder: name }),
        claimedAtMs: -Infinity,
        isKeeping: false,
        blocked: new Map(),
      };
      scopes.set(scope, found);
    }
    return found;
  }
  function runRound(scope: string, monotonicMs: number): void {
    const state = fold.state();
    const own = scopeOf(scope);
    const nowMs = logClock(monotonicMs);
    const incarnation = dependencies.incarnation();
    const identity = { holder: name, incarnation, scope, nowMs };
    const claim = planClaim(state, identity);
    if (claim && monotonicMs - own.claimedAtMs >= CLAIM_INTERVAL_MS) {
      own.claimedAtMs = monotonicMs;
      void dependencies.append(claim);
    }
    const role = roleOf(state, identity, dependencies);
    const isKeeping = role?.type === "keeper";
    if (isKeeping && !own.isKeeping) {
      events.log("leasesKept", { dataCentre: scope });
    }
    own.isKeeping = isKeeping;
    const steps = own.control.advance(state, {
      role,
      nowMs,
      hasFolded: (member, offset) =>
        (dependencies.memberOffset(member) ?? 0) >= offset,
    });
    for (const record of steps.records) void send(own, record);
    for (const call of steps.calls) void exchange(own, call);
    reportBlocked(own, steps.blocked);
  }
  async function send(own: Scope, record: PlannedRecord): Promise<void> {
    const result = await dependencies.append(record);
    if (result.type === "not-appended") own.control.noteNotAppended(record.id);
    if (result.type !== "folded") return;
    if (result.outcome.type === "applied") logRecord(events, record);
  }
  async function exchange(own: Scope, call: WorkerCall): Promise<void> {
    const sentAtMs = logClock(performance.now());
    const address = fold.state().set.hosts[call.worker]?.worker_address;
    const outcome = address === undefined
      ? { type: "unreachable" as const, reason: "the worker has no address" }
      : await dependencies.workers.call(address, call);
    const times = { sentAtMs, nowMs: logClock(performance.now()) };
    own.control.noteOutcome(call, outcome, times);
    if ("job" in call) dueAtMs = 0;
    if (outcome.type === "done" || outcome.type === "report") return;
    const { worker, type } = call;
    events.log("taskCallFailed", {
      worker,
      call: type,
      reason: outcome.reason,
    });
  }
  function reportBlocked(own: Scope, blocked: Map<string, string>): void {
    for (const [job, reason] of blocked) {
      if (own.blocked.get(job) === reason) continue;
      events.log("jobBlocked", { job, reason });
    }
    own.blocked = blocked;
  }
  return {
    tick(nowMs) {
      if (nowMs < dueAtMs || !dependencies.isReady()) return;
      dueAtMs = nowMs + ROUND_MS;
      const { hosts } = fold.state().set;
      const places = new Set<string>();
      for (const host of Object.values(hosts)) {
        if (host.worker_address !== undefined) places.add(host.data_centre);
      }
      for (const scope of places) runRound(scope, nowMs);
    },
  };
}

function roleOf(
  state: FleetState,
  identity: DeciderIdentity & { scope: string; nowMs: number },
  { hasMemberRights }: Pick<JobLoopDependencies, "hasMemberRights">,
): JobRole | undefined {
  const term = mayDecide(state, identity);
  if (term !== undefined) return { type: "decider", term };
  const { scope, holder, incarnation, nowMs } = identity;
  const last = state.deciders.get(scope);
  const isLast = last?.holder === holder && last.incarnation === incarnation;
  if (!isLast || nowMs > last.leaseEndMs + OFFLINE_RENEWAL_MS) return undefined;
  if (!hasMemberRights()) return undefined;
  return { type: "keeper", term: { scope, epoch: last.epoch } };
}

function typeOf({ body }: LogRecord): unknown {
  return (body as { type?: unknown } | null)?.type;
}

/** Returns a function that estimates the log's time from the last record. */
function createLogClock(fold: ControlFold): (monotonicMs: number) => number {
  let offsetMs = fold.state().timeMs - performance.now();
  let lastMs = 0;
  fold.onChange(({ type }) => {
    if (type !== "settled") return;
    // A record that was read late must not set the clock back.
    const found = fold.state().timeMs - performance.now();
    offsetMs = Math.max(offsetMs, found);
  });
  return (monotonicMs) => {
    lastMs = Math.max(lastMs, monotonicMs + offsetMs);
    return lastMs;
  };
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
