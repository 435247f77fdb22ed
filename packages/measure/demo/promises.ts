import got from "got";
import type { CallerResult } from "./traffic.ts";

/** Row of the table that the demo prints. */
export type PromiseRow = {
  promise: string;
  holds: boolean;
  detail: string;
};

/** What the executors counted. */
export type ExecutorCounts = {
  runsByKey: ReadonlyMap<string, number>;
  mostConcurrent: number;
  runs: number;
  /** Restarts of hosts, and the requests that they interrupted. */
  reboots: number;
  cutOff: number;
};

/**
 * Reads the counts of all executors.
 *
 * @example
 * ```ts
 * const counts = await readExecutors(["127.0.0.1:21001"]);
 * ```
 */
export async function readExecutors(
  addresses: readonly string[],
): Promise<ExecutorCounts> {
  const runsByKey = new Map<string, number>();
  let mostConcurrent = 0;
  let runs = 0;
  let reboots = 0;
  let cutOff = 0;
  for (const address of addresses) {
    const stats = await got(`http://${address}/stats`).json<{
      runs: number;
      runsByKey: Record<string, number>;
      maxConcurrent: number;
      reboots: number;
      cutOff: number;
    }>();
    reboots += stats.reboots;
    cutOff += stats.cutOff;
    runs += stats.runs;
    mostConcurrent = Math.max(mostConcurrent, stats.maxConcurrent);
    for (const [key, count] of Object.entries(stats.runsByKey)) {
      runsByKey.set(key, (runsByKey.get(key) ?? 0) + count);
    }
  }
  return { runsByKey, mostConcurrent, runs, reboots, cutOff };
}

/**
 * Compares what callers were told with what the executors ran.
 *
 * @example
 * ```ts
 * const rows = checkAnswers(results, counts);
 * ```
 */
export function checkAnswers(
  results: readonly CallerResult[],
  counts: ExecutorCounts,
): PromiseRow[] {
  const orders = results.filter(({ isOrder }) => isOrder);
  const keys = new Set(orders.map(({ key }) => key));
  const doubled = [...keys].filter((key) =>
    (counts.runsByKey.get(key) ?? 0) > 1
  );
  const answered = results.filter(({ outcome }) => outcome === "answered");
  const foreign = answered.filter(({ isOwnAnswer }) => !isOwnAnswer);
  // A key may be refused once and then run by a repeat of its caller.
  const answeredKeys = new Set(answered.map(({ key }) => key));
  const unknownKeys = new Set(
    results.filter(({ outcome }) =>
      outcome === "unknown" || outcome === "broken"
    ).map(({ key }) => key),
  );
  const falselyNotRun = orders.filter(({ key, outcome }) =>
    outcome === "not-run" && !answeredKeys.has(key) && !unknownKeys.has(key) &&
    counts.runsByKey.has(key)
  );
  const lost = orders.filter(({ key, outcome }) =>
    outcome === "answered" && !counts.runsByKey.has(key)
  );
  return [
    {
      promise: "an order runs at most once",
      holds: doubled.length === 0 && lost.length === 0,
      detail: `${keys.size} orders, ${doubled.length} run twice`,
    },
    {
      promise: "not run means not run",
      holds: falselyNotRun.length === 0,
      detail: `${falselyNotRun.length} false`,
    },
    {
      promise: "whole and own answers",
      holds: foreign.length === 0,
      detail: `${answered.length} answers, ${foreign.length} wrong`,
    },
    {
      promise: "at most 8 requests at an executor",
      holds: counts.mostConcurrent <= 8,
      detail: `most at once: ${counts.mostConcurrent}`,
    },
    {
      promise: "a planned stop interrupts no request",
      holds: counts.reboots > 0 && counts.cutOff === 0,
      detail: `${counts.reboots} restarts, ${counts.cutOff} interrupted`,
    },
  ];
}
