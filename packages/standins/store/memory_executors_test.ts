import { describe, expect, test } from "@jest/globals";
import { createReport } from "../../jobs/_record_fixtures.ts";
import { createMemoryExecutors } from "./memory_executors.ts";

const TASK = "00000000000000a1.0.0.0";

describe("an executor in memory", () => {
  // Guards against a stand-in that carries out a start which the executors of
  // the platform would refuse: a stopped run of a higher number.
  test("refuses a stopped run after a lower one has ended", async () => {
    const executors = createMemoryExecutors();
    const report = createReport("e1");
    const executor = executors.add(report);
    const startRun = (run: number) =>
      executors.start(report, {
        task: TASK,
        run,
        spec: "work",
        leaseExpiryMs: executor.clockMs() + 1_000,
        token: 1,
        checkpoint: "",
        ticket: "",
      });
    await startRun(1);
    await executors.stop(report, { task: TASK, run: 2, token: 1 });
    executor.end(TASK, "done");
    expect(await startRun(2)).toMatchObject({
      type: "refused",
      reason: "old",
    });
  });
});
