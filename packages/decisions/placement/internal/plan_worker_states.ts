import type { ControlRecord } from "@lagoonloom/records";
import { planRecord } from "../../deciders/planned_record.ts";
import type { WorkerState } from "../../fold/job_state.ts";
import { isFaulty, suspectWorker, trialDelayMs } from "../worker_suspicion.ts";
import type { JobRound } from "./job_round.ts";

/**
 * Share of a data centre's workers that may be suspended. If more of them fail,
 * the cause is likely a common one that a suspension does not cure.
 */
const MAX_SUSPENDED_SHARE = 1 / 3;

/** Run time in milliseconds after which a trial job counts as a success. */
const TRIAL_RUN_MS = 60_000;

type Change = Extract<ControlRecord, { type: "worker.changed" }>;

/** Plans suspensions, trials and restorations of workers. */
export function planWorkerStates(round: JobRound): void {
  const { state, options: { term } } = round;
  let suspended = 0;
  for (const { name } of round.rooms.values()) {
    if (state.workers.get(name)?.state === "suspended") suspended++;
  }
  const limit = Math.max(1, round.rooms.size * MAX_SUSPENDED_SHARE);
  for (const room of round.rooms.values()) {
    const worker = state.workers.get(room.name);
    if (worker === undefined) continue;
    const next = nextState(round, room.name, worker);
    if (next === undefined) continue;
    if (next.state === "suspended" && suspended >= limit) continue;
    if (next.state === "suspended") suspended++;
    room.isOpen = false;
    const body: Change = {
      type: "worker.changed",
      ...term,
      worker: room.name,
      ...next,
    };
    round.records.push(planRecord(state, body));
  }
}

type Next = Pick<Change, "state" | "reason"> | undefined;

function nextState(round: JobRound, name: string, worker: WorkerState): Next {
  const { state, options: { nowMs } } = round;
  if (worker.state === "suspended") {
    const delayMs = trialDelayMs(worker);
    if (nowMs < worker.sinceMs + delayMs) return undefined;
    const reason = `${delayMs / 1_000} s after its suspension`;
    return { state: "trial", reason };
  }
  if (worker.state === "trial") return judgeTrial(round, worker);
  const suspicion = suspectWorker(state, name, { nowMs });
  if (!isFaulty(suspicion)) return undefined;
  const jobs = [...suspicion.confirmed, ...suspicion.open].slice(0, 3);
  const reason = `jobs ${jobs.join(", ")} failed on it, of which ${
    suspicion.confirmed.slice(0, 3).join(", ")
  } run elsewhere`;
  return { state: "suspended", reason: reason.slice(0, 500) };
}

function judgeTrial({ state, options }: JobRound, worker: WorkerState): Next {
  const last = worker.recent.at(-1);
  if (last !== undefined && last.atMs >= worker.sinceMs) {
    if (last.outcome === "succeeded") {
      return { state: "restored", reason: `trial job ${last.job} succeeded` };
    }
    const failures = state.jobs.get(last.job)?.failedWorkers.length ?? 0;
    // A trial job that failed elsewhere too says nothing about the worker.
    if (last.outcome === "failed" && failures <= 1) {
      return { state: "suspended", reason: `trial job ${last.job} failed` };
    }
  }
  const [running] = worker.running;
  const job = state.jobs.get(running ?? "");
  if (job === undefined || options.nowMs - job.sinceMs < TRIAL_RUN_MS) {
    return undefined;
  }
  const reason = `trial job ${running} runs for ${TRIAL_RUN_MS / 1_000} s`;
  return { state: "restored", reason };
}
