/**
 * Token bucket that limits how often workers are asked for reports.
 *
 * @module
 */

import { REPORT_BYTES_PER_S, REPORT_EXCHANGE_BYTES } from "../task_lease.ts";

/** Calls that may be made at once after a pause. */
const MAX_BURST = 16;

/** Shortest time in milliseconds between two calls to a worker. */
const MIN_INTERVAL_MS = 1_000;

/** Rate limit on the calls that read workers' reports. */
export type ReportBudget = {
  /** Returns the workers to call now: those in `first`, then all in turn. */
  takeDue(workers: readonly string[], options: TakeDueOptions): string[];
};

/** Options of {@linkcode ReportBudget.takeDue}. */
export type TakeDueOptions = { first: readonly string[]; nowMs: number };

/** Creates a token bucket whose rate is a limit in bytes per second. */
export function createReportBudget(): ReportBudget {
  const tokensPerMs = REPORT_BYTES_PER_S / REPORT_EXCHANGE_BYTES / 1_000;
  const askedAtMs = new Map<string, number>();
  let tokens = MAX_BURST;
  let refilledAtMs: number | undefined;
  let nextIndex = 0;
  return {
    takeDue(workers, { first, nowMs }) {
      tokens = Math.min(
        MAX_BURST,
        tokens + tokensPerMs * (nowMs - (refilledAtMs ?? nowMs)),
      );
      refilledAtMs = nowMs;
      const dueWorkers: string[] = [];
      const isDue = (worker: string) =>
        nowMs - (askedAtMs.get(worker) ?? -Infinity) >= MIN_INTERVAL_MS;
      const take = (worker: string) => {
        tokens--;
        askedAtMs.set(worker, nowMs);
        dueWorkers.push(worker);
      };
      for (const worker of first) {
        if (tokens >= 1 && isDue(worker)) take(worker);
      }
      for (
        let checked = 0;
        checked < workers.length && tokens >= 1;
        checked++
      ) {
        const worker = workers[nextIndex++ % workers.length]!;
        if (isDue(worker)) take(worker);
      }
      return dueWorkers;
    },
  };
}
