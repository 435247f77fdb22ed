import type { DeciderTerm, PlannedRecord } from "../deciders/planned_record.ts";
import type { FleetState } from "../fold/fleet_state.ts";
import {
  createReportBudget,
  type ReportBudget,
} from "./internal/report_budget.ts";
import {
  createTermTracker,
  type TermTracker,
} from "./internal/term_tracker.ts";
import { START_WINDOW_MS } from "./internal/plan_attempts.ts";
import { workersOf } from "./internal/set_workers.ts";
import {
  createWorkerTracker,
  type WorkerTracker,
} from "./internal/worker_tracker.ts";
import type { JobPlan, TaskAction } from "./job_plan.ts";
import { planJobs } from "./plan_jobs.ts";
import { leaseBound, reportCycleMs, taskLeaseMs } from "./task_lease.ts";
import type { WorkerCall, WorkerOutcome } from "./worker_call.ts";

/**
 * Time in milliseconds for which a record without a known outcome is counted
 * as if it took effect. An append that was sent longer ago is not on its way
 * any more.
 */
export const MAX_PENDING_MS = 30_000;

/** Role of this daemon for a data centre. */
export type JobRole =
  /** It decides. */
  | { type: "decider"; term: DeciderTerm }
  /** It held the role last, lost the log, and only keeps tasks running. */
  | { type: "renewer"; term: DeciderTerm };

/** Options of {@linkcode JobControl.advance}. */
export type AdvanceJobsOptions = {
  role: JobRole | undefined;
  /** Log time now in milliseconds. */
  nowMs: number;
  /** Whether a member is known to have folded an offset. */
  hasFolded?: (member: string, offset: number) => boolean;
  mayPreempt?: boolean;
};

/** Next steps for the jobs of a data centre. */
export type JobSteps = Pick<JobPlan, "records" | "blocked"> & {
  calls: WorkerCall[];
};

/** What one daemon knows of a data centre's workers, and its calls to them. */
export type JobControl = {
  advance(state: FleetState, options: AdvanceJobsOptions): JobSteps;
  /** Takes the outcome of a call that was sent at a log time. */
  recordOutcome(
    call: WorkerCall,
    outcome: WorkerOutcome,
    times: { sentAtMs: number; nowMs: number },
  ): void;
  /** Takes that the log did not take a record. */
  recordNotAppended(id: string): void;
};

/** Options of {@linkcode createJobControl}. */
export type JobControlOptions = { scope: string; holder: string };

/**
 * Creates the control of a data centre's jobs. It decides and keeps account of
 * calls and records; the caller sends them and reports the outcomes.
 *
 * @example
 * ```ts
 * const control = createJobControl({ scope: "detroit", holder: "entry-1" });
 * const { records, calls } = control.advance(state, { role, nowMs });
 * ```
 */
export function createJobControl(options: JobControlOptions): JobControl {
  const { scope } = options;
  const parts: ControlState = {
    scope,
    book: createWorkerTracker(),
    terms: createTermTracker(options),
    budget: createReportBudget(),
    pending: new Map(),
    inFlight: new Map(),
  };
  return {
    advance: (state, step) => advance(parts, state, step),
    recordOutcome(call, outcome, times) {
      const key = keyOf(call);
      // After a failure the report is read before the call is repeated.
      const isLost = outcome.type !== "done" && "job" in call;
      if (isLost) parts.inFlight.set(key, "lost");
      else parts.inFlight.delete(key);
      if (outcome.type === "report") {
        for (const [other, fate] of parts.inFlight) {
          const isResolved = fate === "lost" &&
            other.startsWith(`${call.worker} `);
          if (isResolved) parts.inFlight.delete(other);
        }
      }
      parts.book.recordOutcome(call, outcome, times);
    },
    recordNotAppended: (id) => void parts.pending.delete(id),
  };
}

type ControlState = {
  scope: string;
  book: WorkerTracker;
  terms: TermTracker;
  budget: ReportBudget;
  /** Records without a known outcome by id, with the time of their append. */
  pending: Map<string, { record: PlannedRecord; sentAtMs: number }>;
  inFlight: Map<string, "sent" | "lost">;
};

function advance(
  parts: ControlState,
  state: FleetState,
  options: AdvanceJobsOptions,
): JobSteps {
  const { role, nowMs } = options;
  parts.terms.update(state, options);
  const steps: JobSteps = { records: [], calls: [], blocked: new Map() };
  if (role === undefined) return steps;
  const workers = workersOf(state.set).byScope.get(parts.scope) ?? [];
  const leaseMs = taskLeaseMs(workers.length);
  forgetPending(parts, state, nowMs);
  if (role.type === "decider") {
    const plan = planJobs(state, parts.book.observations, {
      term: role.term,
      nowMs,
      leaseMs,
      pending: [...parts.pending.values()].map(({ record }) => record),
      silentAfterMs: Math.max(5_000, 2 * reportCycleMs(workers.length)),
      leaseEndsAtMs: (job) => {
        const worker = state.jobs.get(job)?.worker ?? "";
        return leaseBound({
          lastSentMs: parts.book.leaseSentAtMs(worker),
          leaseMs,
          ...parts.terms.leaseBounds(),
        });
      },
      ...(options.mayPreempt === undefined
        ? {}
        : { mayPreempt: options.mayPreempt }),
    });
    steps.records = takeRecords(parts, plan.records, nowMs);
    steps.blocked = plan.blocked;
    for (const action of plan.actions) {
      const call = toCall(parts, action, { state, role, nowMs, leaseMs });
      if (call !== undefined) send(parts, steps, { call, nowMs });
    }
  }
  const names = workers.map(({ name }) => name);
  const first = [...parts.inFlight].filter(([, fate]) => fate === "lost")
    .map(([key]) => key.slice(0, key.indexOf(" ")));
  for (const worker of parts.budget.takeDue(names, { first, nowMs })) {
    const clockMs = parts.book.workerClockAt(worker, nowMs);
    // A renewal that arrives late keeps a task alive that is given up here, so
    // that a worker that did not answer is only asked for its report.
    const isSilent = parts.book.observations.get(worker)?.isReachable !== true;
    const call: WorkerCall = clockMs === undefined || isSilent
      ? { type: "report", worker }
      : {
        type: "renew",
        worker,
        epoch: role.term.epoch,
        leaseEndMs: clockMs + leaseMs,
      };
    send(parts, steps, { call, nowMs });
  }
  return steps;
}

function forgetPending(
  parts: ControlState,
  state: FleetState,
  nowMs: number,
): void {
  for (const [id, { sentAtMs }] of parts.pending) {
    const isKnown = state.outcomes.has(id);
    if (isKnown || nowMs > sentAtMs + MAX_PENDING_MS) parts.pending.delete(id);
  }
}

/** Leaves out what an append without a known outcome may decide already. */
function takeRecords(
  parts: ControlState,
  records: readonly PlannedRecord[],
  nowMs: number,
): PlannedRecord[] {
  const subjects = new Set(
    [...parts.pending.values()].map(({ record }) => subjectOf(record)),
  );
  const taken = records.filter((record) => !subjects.has(subjectOf(record)));
  for (const record of taken) {
    parts.pending.set(record.id, { record, sentAtMs: nowMs });
  }
  return taken;
}

function subjectOf({ body }: PlannedRecord): string {
  if ("job" in body) return `job ${body.job}`;
  return "worker" in body ? `worker ${body.worker}` : body.type;
}

type ToCallOptions = {
  state: FleetState;
  role: JobRole;
  nowMs: number;
  leaseMs: number;
};

function toCall(
  { book }: ControlState,
  action: TaskAction,
  { state, role, nowMs, leaseMs }: ToCallOptions,
): WorkerCall | undefined {
  const { worker, job, attempt } = action;
  const fencing = { worker, job, attempt, epoch: role.term.epoch };
  if (action.type === "start") {
    const clockMs = book.workerClockAt(worker, nowMs);
    const current = state.jobs.get(job);
    if (clockMs === undefined || current === undefined) return undefined;
    const startByMs = clockMs + current.sinceMs + START_WINDOW_MS - nowMs;
    const leaseEndMs = clockMs + leaseMs;
    const size = current.declared;
    return { type: "start", ...fencing, leaseEndMs, startByMs, size };
  }
  if (action.type !== "preempt") return { type: action.type, ...fencing };
  const task = book.observations.get(worker)?.tasks.get(job);
  const isRunning = task?.attempt === attempt &&
    (task.state === "running" || task.state === "throttled");
  const hasFreshCheckpoint =
    nowMs - (task?.checkpointedAtMs ?? 0) < CHECKPOINT_VALID_MS;
  const type =
    isRunning && !hasFreshCheckpoint && !book.hasTriedCheckpoint(fencing, nowMs)
      ? "checkpoint"
      : "stop";
  return { type, ...fencing };
}

/** Age in milliseconds up to which a checkpoint is good enough for a stop. */
const CHECKPOINT_VALID_MS = 2_000;

function send(
  parts: ControlState,
  steps: JobSteps,
  { call, nowMs }: { call: WorkerCall; nowMs: number },
): void {
  const key = keyOf(call);
  if (parts.inFlight.has(key)) return;
  parts.inFlight.set(key, "sent");
  parts.book.recordSent(call, nowMs);
  steps.calls.push(call);
}

function keyOf(call: WorkerCall): string {
  return "job" in call
    ? `${call.worker} ${call.type} ${call.job} ${call.attempt}`
    : `${call.worker} report`;
}
