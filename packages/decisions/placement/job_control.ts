/**
 * Control loop that plans, sends and tracks the work on a data centre's jobs.
 *
 * @module
 */

import type { PlannedRecord } from "../deciders/planned_record.ts";
import type { FleetState } from "../fold/fleet_state.ts";
import { START_WINDOW_MS } from "./internal/plan_attempts.ts";
import {
  createReportBudget,
  type ReportBudget,
} from "./internal/report_budget.ts";
import { workersOf } from "./internal/set_workers.ts";
import {
  createTermTracker,
  type TermTracker,
} from "./internal/term_tracker.ts";
import {
  createWorkerTracker,
  type WorkerTracker,
} from "./internal/worker_tracker.ts";
import type {
  AdvanceJobsOptions,
  JobControlOptions,
  JobRole,
} from "./job_control_options.ts";
import type { JobPlan, TaskAction } from "./job_plan.ts";
import { planJobs } from "./plan_jobs.ts";
import { leaseBound, reportCycleMs, taskLeaseMs } from "./task_lease.ts";
import type { WorkerCall, WorkerOutcome } from "./worker_call.ts";

/**
 * Time in milliseconds for which a record without a known outcome counts as if
 * it took effect. After that, the append can no longer be in flight.
 */
export const MAX_PENDING_MS = 30_000;

/** Records to append and calls to make for the jobs of a data centre. */
export type JobSteps = Pick<JobPlan, "records" | "blocked"> & {
  calls: WorkerCall[];
};

/** Control loop for the jobs of one data centre, without its I/O. */
export type JobControl = {
  /** Runs a round and returns the records and calls to send. */
  advance(state: FleetState, options: AdvanceJobsOptions): JobSteps;
  /** Records the outcome of a call; the times are log times. */
  recordOutcome(
    call: WorkerCall,
    outcome: WorkerOutcome,
    times: { sentAtMs: number; nowMs: number },
  ): void;
  /** Records that a record was not appended, so that it no longer counts. */
  recordNotAppended(id: string): void;
};

/**
 * Creates the control loop for a data centre's jobs. It plans records and calls
 * and tracks the pending ones; the caller sends them and reports the outcomes.
 *
 * @example
 * ```ts
 * const control = createJobControl({ scope: "detroit", holder: "entry-1" });
 * const { records, calls } = control.advance(state, { role, nowMs });
 * ```
 */
export function createJobControl(options: JobControlOptions): JobControl {
  const { scope } = options;
  const control: ControlState = {
    scope,
    tracker: createWorkerTracker(),
    termTracker: createTermTracker(options),
    reportBudget: createReportBudget(),
    pending: new Map(),
    inFlight: new Map(),
  };
  return {
    advance: (state, step) => advance(control, state, step),
    recordOutcome(call, outcome, times) {
      const key = keyOf(call);
      // A failed call is repeated only after a report shows whether it took
      // effect.
      const hasFailed = outcome.type !== "done" && "job" in call;
      if (hasFailed) control.inFlight.set(key, "failed");
      else control.inFlight.delete(key);
      if (outcome.type === "report") {
        for (const [otherKey, callState] of control.inFlight) {
          const isResolved = callState === "failed" &&
            otherKey.startsWith(`${call.worker} `);
          if (isResolved) control.inFlight.delete(otherKey);
        }
      }
      control.tracker.recordOutcome(call, outcome, times);
    },
    recordNotAppended: (id) => void control.pending.delete(id),
  };
}

/** Internal state of a {@linkcode JobControl}. */
type ControlState = {
  scope: string;
  tracker: WorkerTracker;
  termTracker: TermTracker;
  reportBudget: ReportBudget;
  /** Records without a known outcome, by id. */
  pending: Map<string, { record: PlannedRecord; sentAtMs: number }>;
  /** Calls by key that have no outcome or failed since the last report. */
  inFlight: Map<string, "sent" | "failed">;
};

function advance(
  control: ControlState,
  state: FleetState,
  options: AdvanceJobsOptions,
): JobSteps {
  const { role, nowMs } = options;
  control.termTracker.update(state, options);
  const steps: JobSteps = { records: [], calls: [], blocked: new Map() };
  if (role === undefined) return steps;
  const workers = workersOf(state.set).byScope.get(control.scope) ?? [];
  const leaseMs = taskLeaseMs(workers.length);
  forgetPending(control, state, nowMs);
  if (role.type === "decider") {
    const plan = planJobs(state, control.tracker.observations, {
      term: role.term,
      nowMs,
      leaseMs,
      pending: [...control.pending.values()].map(({ record }) => record),
      silentAfterMs: Math.max(5_000, 2 * reportCycleMs(workers.length)),
      leaseEndsAtMs: (job) => {
        const worker = state.jobs.get(job)?.worker ?? "";
        return leaseBound({
          lastSentMs: control.tracker.leaseSentAtMs(worker),
          leaseMs,
          ...control.termTracker.leaseBounds(),
        });
      },
      ...(options.mayPreempt === undefined
        ? {}
        : { mayPreempt: options.mayPreempt }),
    });
    steps.records = takeRecords(control, plan.records, nowMs);
    steps.blocked = plan.blocked;
    for (const action of plan.actions) {
      const call = toCall(control, action, { state, role, nowMs, leaseMs });
      if (call !== undefined) send(control, steps, { call, nowMs });
    }
  }
  const names = workers.map(({ name }) => name);
  const first = [...control.inFlight].filter(([, callState]) =>
    callState === "failed"
  )
    .map(([key]) => key.slice(0, key.indexOf(" ")));
  for (const worker of control.reportBudget.takeDue(names, { first, nowMs })) {
    const clockMs = control.tracker.workerClockAt(worker, nowMs);
    // A renewal that arrives late would extend the lease of a task that was
    // given up here, so a worker that did not answer is only asked for its
    // report.
    const isSilent =
      control.tracker.observations.get(worker)?.isReachable !== true;
    const call: WorkerCall = clockMs === undefined || isSilent
      ? { type: "report", worker }
      : {
        type: "renew",
        worker,
        epoch: role.term.epoch,
        leaseEndMs: clockMs + leaseMs,
      };
    send(control, steps, { call, nowMs });
  }
  return steps;
}

function forgetPending(
  control: ControlState,
  state: FleetState,
  nowMs: number,
): void {
  for (const [id, { sentAtMs }] of control.pending) {
    const isKnown = state.outcomes.has(id);
    if (isKnown || nowMs > sentAtMs + MAX_PENDING_MS) {
      control.pending.delete(id);
    }
  }
}

/** Drops records on jobs and workers that a pending record is about. */
function takeRecords(
  control: ControlState,
  records: readonly PlannedRecord[],
  nowMs: number,
): PlannedRecord[] {
  const subjects = new Set(
    [...control.pending.values()].map(({ record }) => subjectOf(record)),
  );
  const taken = records.filter((record) => !subjects.has(subjectOf(record)));
  for (const record of taken) {
    control.pending.set(record.id, { record, sentAtMs: nowMs });
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
  { tracker }: ControlState,
  action: TaskAction,
  { state, role, nowMs, leaseMs }: ToCallOptions,
): WorkerCall | undefined {
  const { worker, job, attempt } = action;
  const fencing = { worker, job, attempt, epoch: role.term.epoch };
  if (action.type === "start") {
    const clockMs = tracker.workerClockAt(worker, nowMs);
    const current = state.jobs.get(job);
    if (clockMs === undefined || current === undefined) return undefined;
    const startByMs = clockMs + current.sinceMs + START_WINDOW_MS - nowMs;
    const leaseEndMs = clockMs + leaseMs;
    const size = current.declared;
    return { type: "start", ...fencing, leaseEndMs, startByMs, size };
  }
  if (action.type !== "preempt") return { type: action.type, ...fencing };
  const task = tracker.observations.get(worker)?.tasks.get(job);
  const isRunning = task?.attempt === attempt &&
    (task.state === "running" || task.state === "throttled");
  const hasFreshCheckpoint =
    nowMs - (task?.checkpointedAtMs ?? 0) < CHECKPOINT_VALID_MS;
  const type = isRunning && !hasFreshCheckpoint &&
      !tracker.hasTriedCheckpoint(fencing, nowMs)
    ? "checkpoint"
    : "stop";
  return { type, ...fencing };
}

/** Age in milliseconds up to which a stop needs no new checkpoint. */
const CHECKPOINT_VALID_MS = 2_000;

function send(
  control: ControlState,
  steps: JobSteps,
  { call, nowMs }: { call: WorkerCall; nowMs: number },
): void {
  const key = keyOf(call);
  if (control.inFlight.has(key)) return;
  control.inFlight.set(key, "sent");
  control.tracker.recordSent(call, nowMs);
  steps.calls.push(call);
}

function keyOf(call: WorkerCall): string {
  return "job" in call
    ? `${call.worker} ${call.type} ${call.job} ${call.attempt}`
    : `${call.worker} report`;
}
