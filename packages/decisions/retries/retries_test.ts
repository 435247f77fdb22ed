/**
 * Tests of retry decisions and the retry budget.
 *
 * @module
 */

import { describe, expect, test } from "@jest/globals";
import {
  addRetryTokens,
  createRetryBudget,
  decideRetry,
  type FailedAttempt,
  MAX_ATTEMPTS,
  takeRetryToken,
} from "./mod.ts";

const FIRST_ATTEMPT: FailedAttempt = {
  sent: "nothing",
  isIdempotent: false,
  budget: createRetryBudget(),
  attempts: 1,
  nowMs: 0,
  deadlineAtMs: 1_000,
  expectedRunMs: 100,
};

describe("decideRetry", () => {
  // Guards against requests that run twice, and retries that cannot succeed.
  test.each<[string, Partial<FailedAttempt>, string]>([
    ["nothing sent", {}, "retry"],
    ["maybe sent, idempotent", { sent: "maybe", isIdempotent: true }, "retry"],
    ["maybe sent, not idempotent", { sent: "maybe" }, "may-have-run"],
    ["too many attempts", { attempts: MAX_ATTEMPTS }, "attempts"],
    ["past the deadline", { nowMs: 1_001 }, "deadline"],
    ["no time to run", { nowMs: 900 }, "deadline"],
    ["no tokens", { budget: { tokens: 0.9 } }, "budget"],
  ])("decides on %s", (_, options, expected) => {
    const decision = decideRetry({ ...FIRST_ATTEMPT, ...options });
    expect(decision.retry ? "retry" : decision.reason).toBe(expected);
  });

  // Guards against retries that multiply the load when every request fails.
  test("retries at most 10% of requests once the bucket is empty", () => {
    let budget = { tokens: 0 };
    let retries = 0;
    for (let count = 0; count < 1_000; count++) {
      budget = addRetryTokens(budget);
      if (!decideRetry({ ...FIRST_ATTEMPT, budget }).retry) continue;
      budget = takeRetryToken(budget);
      retries++;
    }
    expect(retries).toBe(100);
    for (let count = 0; count < 1_000; count++) budget = addRetryTokens(budget);
    expect(budget).toEqual(createRetryBudget());
  });
});
