/**
 * Checks the guarantees of the demo by comparing callers with executors.
 *
 * @module
 */

import got from "got";
import type { CallerResult } from "./traffic.ts";

/** Row of the table that the demo prints. */
export type GuaranteeRow = {
  guarantee: string;
  holds: boolean;
  /** Figures that show whether the guarantee holds. */
  detail: string;
};

/** Counts of all executors together. */
export type ExecutorCounts = {
  /** Runs by idempotency key. */
  runsByKey: ReadonlyMap<string, number>;
  /** Maximum number of unanswered requests at one executor at a time. */
  maxConcurrent: number;
  runs: number;
  reboots: number;
  /** Requests that reboots interrupted. */
  cutOff: number;
};

/**
 * Reads and adds up the counts of all executors.
 *
 * @example
 * ```ts
 * const counts = await readExecutorCounts(["127.0.0.1:21001"]);
 * ```
 */
export async function readExecutorCounts(
  addresses: readonly string[],
): Promise<ExecutorCounts> {
  const runsByKey = new Map<string, number>();
  let maxConcurrent = 0;
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
    maxConcurrent = Math.max(maxConcurrent, stats.maxConcurrent);
    for (const [key, count] of Object.entries(stats.runsByKey)) {
      runsByKey.set(key, (runsByKey.get(key) ?? 0) + count);
    }
  }
  return { runsByKey, maxConcurrent, runs, reboots, cutOff };
}

/**
 * Compares the responses that callers got with what the executors ran.
 *
 * @example
 * ```ts
 * const rows = checkGuarantees(results, counts);
 * ```
 */
export function checkGuarantees(
  results: readonly CallerResult[],
  counts: ExecutorCounts,
): GuaranteeRow[] {
  const orders = results.filter(({ isOrder }) => isOrder);
  const keys = new Set(orders.map(({ key }) => key));
  const runTwice = [...keys].filter((key) =>
    (counts.runsByKey.get(key) ?? 0) > 1
  );
  const answered = results.filter(({ outcome }) => outcome === "answered");
  const wrongAnswers = answered.filter(({ isOwnAnswer }) => !isOwnAnswer);
  // A refused request may run when its caller repeats it with the same key, so
  // keys with any other outcome are left out below.
  const answeredKeys = new Set(answered.map(({ key }) => key));
  const unknownKeys = new Set(
    results.filter(({ outcome }) =>
      outcome === "unknown" || outcome === "broken"
    ).map(({ key }) => key),
  );
  const runDespiteNotRun = orders.filter(({ key, outcome }) =>
    outcome === "not-run" && !answeredKeys.has(key) && !unknownKeys.has(key) &&
    counts.runsByKey.has(key)
  );
  const answeredNotRun = orders.filter(({ key, outcome }) =>
    outcome === "answered" && !counts.runsByKey.has(key)
  );
  return [
    {
      guarantee: "an order runs at most once",
      holds: runTwice.length === 0 && answeredNotRun.length === 0,
      detail: `${keys.size} orders, ${runTwice.length} run twice`,
    },
    {
      guarantee: "not run means not run",
      holds: runDespiteNotRun.length === 0,
      detail: `${runDespiteNotRun.length} false`,
    },
    {
      guarantee: "whole and own answers",
      holds: wrongAnswers.length === 0,
      detail: `${answered.length} answers, ${wrongAnswers.length} wrong`,
    },
    {
      guarantee: "at most 8 requests at an executor",
      holds: counts.maxConcurrent <= 8,
      detail: `most at once: ${counts.maxConcurrent}`,
    },
    {
      guarantee: "a planned stop interrupts no request",
      holds: counts.reboots > 0 && counts.cutOff === 0,
      detail: `${counts.reboots} restarts, ${counts.cutOff} interrupted`,
    },
  ];
}
