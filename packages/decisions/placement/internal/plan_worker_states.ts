import type { ControlRecordOf } from "@lagoonloom/records";
import { planRecord } from "../../deciders/planned_record.ts";
import type { WorkerState } from "../../fold/job_state.ts";
import { collectFailures, isFaulty, trialDelayMs } from "../worker_failures.ts";
import type { JobRound } from "./job_round.ts";

/**
 * Share of a data centre's workers that may be suspended. If more of them fail,
 * they likely have a common cause, which a suspension does not remove.
 */
const MAX_SUSPENDED_SHARE = 1 / 3;

/** Run time in milliseconds after which a trial job counts as successful. */
const TRIAL_RUN_MS = 60_000;

type WorkerChangedRecord = ControlRecordOf<"worker.changed">;

/**
 * Plans the changes of workers between the states suspended, on trial and
 * restored.
 */
export function planWorkerStates(round: JobRound): void {
  const { state, options: { term } } = round;
  let suspended = 0;
  for (const { name } of round.workers.values()) {
    if (state.workers.get(name)?.state === "suspended") suspended++;
  }
  const limit = Math.max(1, round.workers.size * MAX_SUSPENDED_SHARE);
  for (const worker of round.workers.values()) {
    const workerState = state.workers.get(worker.name);
    if (workerState === undefined) continue;
    const next = nextState(round, worker.name, workerState);
    if (next === undefined) continue;
    if (next.state === "suspended" && suspended >= limit) continue;
    if (next.state === "suspended") suspended++;
    worker.isSchedulable = false;
    const body: WorkerChangedRecord = {
      type: "worker.changed",
      ...term,
      worker: worker.name,
      ...next,
    };
    round.records.push(planRecord(state, body));
  }
}

type NextState = Pick<WorkerChangedRecord, "state" | "reason"> | undefined;

function nextState(
  round: JobRound,
  name: string,
  workerState: WorkerState,
): NextState {
  const { state, options: { nowMs } } = round;
  if (workerState.state === "suspended") {
    const delayMs = trialDelayMs(workerState);
    if (nowMs < workerState.sinceMs + delayMs) return undefined;
    const reason = `${delayMs / 1_000} s after its suspension`;
    return { state: "trial", reason };
  }
  if (workerState.state === "trial") return evaluateTrial(round, workerState);
  const failures = collectFailures(state, name, { nowMs });
  if (!isFaulty(failures)) return undefined;
  const jobs = [...failures.confirmed, ...failures.unconfirmed].slice(0, 3);
  const reason = `jobs ${jobs.join(", ")} failed on it, of which ${
    failures.confirmed.slice(0, 3).join(", ")
  } run elsewhere`;
  return { state: "suspended", reason: reason.slice(0, 500) };
}

function evaluateTrial(
  { state, options }: JobRound,
  workerState: WorkerState,
): NextState {
  const last = workerState.recent.at(-1);
  if (last !== undefined && last.atMs >= workerState.sinceMs) {
    if (last.outcome === "succeeded") {
      return { state: "restored", reason: `trial job ${last.job} succeeded` };
    }
    const failures = state.jobs.get(last.job)?.failedWorkers.length ?? 0;
    // A trial job that failed elsewhere too says nothing about the worker.
    if (last.outcome === "failed" && failures <= 1) {
      return { state: "suspended", reason: `trial job ${last.job} failed` };
    }
  }
  const [running] = workerState.running;
  const job = state.jobs.get(running ?? "");
  if (job === undefined || options.nowMs - job.sinceMs < TRIAL_RUN_MS) {
    return undefined;
  }
  const reason = `trial job ${running} runs for ${TRIAL_RUN_MS / 1_000} s`;
  return { state: "restored", reason };
}
