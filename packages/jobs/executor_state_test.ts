import { describe, expect, test } from "@jest/globals";
import { createReport } from "./_fixtures.ts";
import {
  createExecutorState,
  freeCapacityOf,
  setUntrackedRuns,
} from "./executor_state.ts";

describe("freeCapacityOf", () => {
  // Guards against a shrunk resource that hides behind the others (LIMIT).
  test("is negative in each resource that has shrunk below its use", () => {
    const capacity = { cpu: 16_000, memoryMb: 8_000, accelerators: 2 };
    const executor = createExecutorState(createReport("e1", { capacity }));
    const size = { cpu: 4_000, memoryMb: 6_000, accelerators: 2 };
    setUntrackedRuns(executor, new Map([["a.0.0.0/1", size]]));
    expect(freeCapacityOf(executor))
      .toEqual({ cpu: 12_000, memoryMb: 2_000, accelerators: 0 });
    executor.report = createReport("e1", {
      capacity: { cpu: 8_000, memoryMb: 5_000, accelerators: 1 },
    });
    expect(freeCapacityOf(executor))
      .toEqual({ cpu: 4_000, memoryMb: -1_000, accelerators: -1 });
    setUntrackedRuns(executor, new Map());
    expect(freeCapacityOf(executor)).toEqual(executor.report.capacity);
  });

  // Guards against free capacity beside a run of unknown size (LIMIT).
  test("is never positive beside a run of unknown size", () => {
    const executor = createExecutorState(createReport("e1"));
    const size = { cpu: 4_000, memoryMb: 500, accelerators: 0 };
    const runs = new Map([["a.0.0.0/1", undefined], ["b.0.0.0/1", size]]);
    setUntrackedRuns(executor, runs);
    expect(freeCapacityOf(executor))
      .toEqual({ cpu: -4_000, memoryMb: -500, accelerators: 0 });
  });
});
