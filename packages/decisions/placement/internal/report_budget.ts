import { REPORT_BYTES_PER_S, REPORT_EXCHANGE_BYTES } from "../task_lease.ts";

/** Exchanges that may follow at once after a pause. */
const BURST = 16;

/** Shortest time in milliseconds between two exchanges with a worker. */
const MIN_INTERVAL_MS = 1_000;

/** Limits the exchanges that read reports. */
export type ReportBudget = {
  /** Returns the workers to ask now: the first ones, then all in turn. */
  due(workers: readonly string[], options: DueOptions): string[];
};

/** Options of {@linkcode ReportBudget.due}. */
export type DueOptions = { first: readonly string[]; nowMs: number };

/** Creates a budget of bytes per second that is spent on workers in turn. */
export function createReportBudget(): ReportBudget {
  const perMs = REPORT_BYTES_PER_S / REPORT_EXCHANGE_BYTES / 1_000;
  const askedAtMs = new Map<string, number>();
  let credit = BURST;
  let lastMs: number | undefined;
  let next = 0;
  return {
    due(workers, { first, nowMs }) {
      credit = Math.min(BURST, credit + perMs * (nowMs - (lastMs ?? nowMs)));
      lastMs = nowMs;
      const found: string[] = [];
      const isDue = (worker: string) =>
        nowMs - (askedAtMs.get(worker) ?? -Infinity) >= MIN_INTERVAL_MS;
      const take = (worker: string) => {
        credit--;
        askedAtMs.set(worker, nowMs);
        found.push(worker);
      };
      for (const worker of first) {
        if (credit >= 1 && isDue(worker)) take(worker);
      }
      for (let seen = 0; seen < workers.length && credit >= 1; seen++) {
        const worker = workers[next++ % workers.length]!;
        if (isDue(worker)) take(worker);
      }
      return found;
    },
  };
}
