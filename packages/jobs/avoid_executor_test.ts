import { describe, expect, test } from "@jest/globals";
import { createGroup } from "./_fixtures.ts";
import { avoidExecutor } from "./avoid_executor.ts";

describe("avoidExecutor", () => {
  // Guards against a lasting task whose list of executors grows for good, as
  // each replaced executor has another id.
  test("keeps the executors that a task avoided last", () => {
    const [task] = createGroup().tasks;
    for (let index = 0; index < 1_000; index++) {
      avoidExecutor(task!, `e${index}`);
    }
    expect(task!.avoidedExecutors.size).toBe(32);
    expect(task!.avoidedExecutors.has("e999")).toBe(true);
  });
});
