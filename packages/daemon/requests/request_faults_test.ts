import { describe, expect, test } from "@jest/globals";
import {
  type FaultCase,
  listFaultCases,
  runFaultCase,
} from "./_fault_cases.ts";

const NO_VIOLATIONS = {
  doubled: 0,
  falselyNotRun: 0,
  wrongAnswers: 0,
  blocked: 0,
};

function nameCase(row: FaultCase): string {
  const { step, fault = "", concurrentEvent = "", isOrder = true } = row;
  return `${isOrder ? "order" : "quote"} ${step} ${fault} ${concurrentEvent}`;
}

// Guards against a second run of an order, a false "not-run", a run after
// "not-run", an answer that is truncated or of another request, and a key that
// stays claimed although its order did not run.
describe.each(Object.entries(listFaultCases()))("%s faults", (_, rows) => {
  test.each(rows.map((row) => [nameCase(row), row] as const))(
    "%s",
    async (_, row) => {
      expect(await runFaultCase(row)).toMatchObject(NO_VIOLATIONS);
    },
  );
});

describe("faults of all executors", () => {
  // Guards against "not-run" after a retry that found no executor: the first
  // attempt may have run.
  test.each(["killed", "reset"] as const)("%s", async (fault) => {
    const { attempts } = await runFaultCase({
      step: "unanswered",
      fault,
      concurrentEvent: "other executor down",
      isOrder: false,
    });
    expect(attempts).toMatchObject([{ outcome: "unknown" }]);
  });
});
