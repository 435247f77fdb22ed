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
  const { step, fault = "", happening = "", isOrder = true } = row;
  return `${isOrder ? "order" : "quote"} ${step} ${fault} ${happening}`;
}

// Guards against a second run of a key, a false "not-run", a run after
// "not-run", an answer that is cut or of another request, and a key that stays
// blocked though its order did not run.
describe.each(Object.entries(listFaultCases()))("%s faults", (_, rows) => {
  test.each(rows.map((row) => [nameCase(row), row] as const))(
    "%s",
    async (_, row) => {
      expect(await runFaultCase(row)).toMatchObject(NO_VIOLATIONS);
    },
  );
});

describe("faults of all executors", () => {
  // Guards against "not-run" after a retry that found no executor, although
  // the first attempt may have run.
  test.each(["killed", "reset"] as const)("%s", async (fault) => {
    const { attempts } = await runFaultCase({
      step: "unanswered",
      fault,
      happening: "other executor down",
      isOrder: false,
    });
    expect(attempts).toMatchObject([{ outcome: "unknown" }]);
  });
});
