import { describe, expect, test } from "@jest/globals";
import type { Machine } from "../fleet.ts";
import { type Move, type MovePlanInput, planMoves } from "./plan_moves.ts";
import type { ServiceDemand } from "./partition_report.ts";

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

function inputOf(fields: Partial<MovePlanInput> = {}): MovePlanInput {
  return {
    machines: [
      machineOf("q1", "quoting"),
      machineOf("o1", "orders"),
      machineOf("o2", "orders"),
      machineOf("s1", "spare"),
      machineOf("s2", "spare"),
    ],
    unavailable: new Set(),
    destinations: new Map(),
    demand: new Map(),
    idleMs: new Map(),
    standbyPools: new Set(["spare"]),
    growthOf: () => 0,
    machineCpu: 16_000,
    minSizeOf: () => 1,
    ...fields,
  };
}

describe("planMoves", () => {
  const highDemand = new Map([["quoting", demandOf({ waitingCpu: 30_000 })]]);

  // Guards against tasks that wait while standby machines are unused.
  test("moves standby machines to an overloaded pool first", () => {
    const moves = planMoves(inputOf({
      demand: highDemand,
      idleMs: new Map([["e-o1", 9_000], ["e-o2", 9_000]]),
    }));
    expect(moves.slice(0, 2).map(({ machine }) => machine)).toEqual([
      "s1",
      "s2",
    ]);
  });

  // Guards against further orders while ordered machines are still moving.
  test("counts machines that are already moving to the pool", () => {
    const incoming = new Map([["x1", "quoting"], ["x2", "quoting"]]);
    expect(planMoves(inputOf({ demand: highDemand, destinations: incoming })))
      .toEqual([]);
  });

  // Guards against moving a machine whose executor still runs tasks.
  test("moves no busy machine", () => {
    const machines = [machineOf("o1", "orders"), machineOf("o2", "orders")];
    expect(planMoves(inputOf({ demand: highDemand, machines }))).toEqual([]);
  });

  // Guards against too few executors for tasks that must run on different ones,
  // which caused 153 moves in a scenario with little load.
  test("keeps a pool at its minimum size", () => {
    const moves = planMoves(inputOf({
      machines: [machineOf("o1", "orders"), machineOf("o2", "orders")],
      demand: highDemand,
      idleMs: new Map([["e-o1", 9_000], ["e-o2", 9_000]]),
      minSizeOf: (pool) => pool === "orders" ? 2 : 1,
    }));
    expect(moves).toEqual([]);
  });

  // Guards against paying for machines that are not needed.
  test("returns idle machines to the standby pool", () => {
    const moves = planMoves(inputOf({
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

  // Guards against machines on their way to the standby pool while the callers
  // of another pool wait for them.
  test("returns no idle machine while another pool is short", () => {
    const input = inputOf({
      machines: [
        machineOf("q1", "quoting"),
        ...["o1", "o2", "o3", "o4", "o5"].map((id) => machineOf(id, "orders")),
      ],
      idleMs: new Map(
        ["o1", "o2", "o3", "o4", "o5"].map((id) => [`e-${id}`, 9_000]),
      ),
    });
    const poolsOf = (moves: readonly Move[]) => moves.map(({ pool }) => pool);
    expect(poolsOf(planMoves(input)))
      .toEqual(["spare", "spare", "spare", "spare"]);
    expect(poolsOf(planMoves({ ...input, demand: highDemand })))
      .toEqual(["quoting", "quoting"]);
  });

  // Guards against a pool whose machines come as late as its backlog shows,
  // two seconds after its callers do.
  test("orders the machines that a short pool needs once they come", () => {
    const standby = Array.from(
      { length: 9 },
      (_, index) => machineOf(`s${index}`, "spare"),
    );
    const countMoves = (cpu: number, growth: number) =>
      planMoves(inputOf({
        machines: [machineOf("q1", "quoting"), ...standby],
        demand: new Map([["quoting", demandOf({ runningCpu: cpu })]]),
        growthOf: () => growth,
      })).length;
    expect(countMoves(22_400, 0)).toBe(1);
    expect(countMoves(22_400, 5_600)).toBe(2);
    expect(countMoves(22_400, 90_000)).toBe(3);
    expect(countMoves(11_000, 90_000)).toBe(0);
  });
});
