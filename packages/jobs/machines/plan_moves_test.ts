import { describe, expect, test } from "@jest/globals";
import type { Machine } from "../fleet.ts";
import { type MoveView, planMoves } from "./plan_moves.ts";
import type { ServiceDemand } from "./pool_report.ts";

function machineOf(id: string, pool: string): Machine {
  return { id, pool, state: "up", executor: `e-${id}` };
}

function demandOf(fields: Partial<ServiceDemand> = {}): ServiceDemand {
  return {
    service: "quoting",
    lastingCpu: 0,
    runningCpu: 0,
    waitingCpu: 0,
    waitedMs: 0,
    leastExecutors: 0,
    ...fields,
  };
}

function viewOf(fields: Partial<MoveView> = {}): MoveView {
  return {
    machines: [
      machineOf("q1", "quoting"),
      machineOf("o1", "orders"),
      machineOf("o2", "orders"),
      machineOf("s1", "spare"),
      machineOf("s2", "spare"),
    ],
    taken: new Set(),
    incoming: new Map(),
    demand: new Map(),
    idleMs: new Map(),
    standbyPools: new Set(["spare"]),
    machineCpu: 16_000,
    leastOf: () => 1,
    ...fields,
  };
}

describe("planMoves", () => {
  const flooded = new Map([["quoting", demandOf({ waitingCpu: 30_000 })]]);

  // Guards against work that waits while machines are off.
  test("gives a loaded pool the machines that are off first", () => {
    const moves = planMoves(viewOf({
      demand: flooded,
      idleMs: new Map([["e-o1", 9_000], ["e-o2", 9_000]]),
    }));
    expect(moves.slice(0, 2).map(({ machine }) => machine)).toEqual([
      "s1",
      "s2",
    ]);
  });

  // Guards against orders that are given again while machines are on the way.
  test("counts machines that are on their way", () => {
    const incoming = new Map([["x1", "quoting"], ["x2", "quoting"]]);
    expect(planMoves(viewOf({ demand: flooded, incoming }))).toEqual([]);
  });

  // Guards against a machine that is taken from under its work.
  test("moves no machine that runs something", () => {
    const machines = [machineOf("o1", "orders"), machineOf("o2", "orders")];
    expect(planMoves(viewOf({ demand: flooded, machines }))).toEqual([]);
  });

  // Guards against lasting tasks without executors to run apart on (153 moves
  // on quiet-1 of Lakeshore).
  test("leaves a pool its least size", () => {
    const moves = planMoves(viewOf({
      machines: [machineOf("o1", "orders"), machineOf("o2", "orders")],
      demand: flooded,
      idleMs: new Map([["e-o1", 9_000], ["e-o2", 9_000]]),
      leastOf: (pool) => pool === "orders" ? 2 : 1,
    }));
    expect(moves).toEqual([]);
  });

  // Guards against paying for machines that nobody needs.
  test("returns machines that stay idle", () => {
    const moves = planMoves(viewOf({
      machines: [
        machineOf("q1", "quoting"),
        machineOf("q2", "quoting"),
        machineOf("q3", "quoting"),
        machineOf("s1", "spare"),
      ],
      idleMs: new Map([["e-q1", 9_000], ["e-q2", 9_000], ["e-q3", 100]]),
    }));
    expect(moves).toEqual([
      { machine: "q2", pool: "spare", reason: "idle for 9000 ms" },
    ]);
  });
});
