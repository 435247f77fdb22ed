import { describe, expect, test } from "@jest/globals";
import type { Machine } from "../fleet.ts";
import { planUpkeep, type UpkeepPlanInput } from "./plan_upkeep.ts";

function inputOf(fields: Partial<UpkeepPlanInput> = {}): UpkeepPlanInput {
  const ids = ["q1", "q2", "q3", "q4", "q5", "q6"];
  return {
    waves: [{
      wave: { wave: 1, machines: ids, finishByS: 26, maxDown: 3 },
      dueAtMs: 26_000,
      startedMachines: new Set(),
    }],
    machines: new Map(ids.map((id): [string, Machine] => [
      id,
      { id, pool: "quoting", state: "up", executor: `e-${id}` },
    ])),
    down: new Set(),
    ordered: new Set(),
    draining: new Set(),
    idle: new Set(ids.map((id) => `e-${id}`)),
    standbyPools: new Set(["spare"]),
    isPoolShort: false,
    loadOf: () => 0,
    nowMs: 0,
    ...fields,
  };
}

describe("planUpkeep", () => {
  // Guards against more machines down at a time than the wave allows, a
  // violation of the platform's limit.
  test("keeps the wave's limit of machines that are down", () => {
    const down = new Set(["q1", "q2"]);
    const ordered = new Set(["q1", "q2"]);
    expect(planUpkeep(inputOf({ down, ordered })).size).toBeLessThanOrEqual(1);
  });

  // Guards against a pool without capacity during a wave.
  test("selects at most a third of a pool at a time", () => {
    expect(planUpkeep(inputOf()).size).toBe(2);
  });

  // Guards against machines that are maintained twice.
  test("skips machines whose upkeep has started", () => {
    const input = inputOf();
    const active = {
      ...input.waves[0]!,
      startedMachines: new Set(["q1", "q2"]),
    };
    const plan = planUpkeep({ ...input, waves: [active] });
    expect(plan.has("q1")).toBe(false);
    expect(plan.size).toBe(2);
  });

  // Guards against waves that miss their deadline because all machines are
  // busy.
  test("drains busy machines when the deadline requires it", () => {
    const idle = new Set<string>();
    expect(planUpkeep(inputOf({ idle })).size).toBe(2);
    expect(planUpkeep(inputOf({ idle, nowMs: 20_000 })).size).toBe(2);
  });

  // Guards against a machine that never drains, as another one is selected
  // whenever the loads of the pools change.
  test("keeps draining a busy machine when the loads change", () => {
    const machines = new Map<string, Machine>([
      ["q1", { id: "q1", pool: "quoting", state: "up", executor: "e-q1" }],
      ["s1", { id: "s1", pool: "shipping", state: "up", executor: "e-s1" }],
    ]);
    const input = inputOf({ idle: new Set(), machines });
    input.waves[0]!.wave.machines = ["q1", "s1"];
    const select = (draining: string[], busyPool: string) => [
      ...planUpkeep({
        ...input,
        draining: new Set(draining),
        loadOf: (pool) => pool === busyPool ? 9_000 : 1_000,
      }).keys(),
    ];
    expect(select([], "shipping")).toEqual(["q1"]);
    expect(select(["q1"], "quoting")).toEqual(["q1"]);
  });

  // Guards against idle machines that wait behind busy ones of another pool.
  test("selects idle machines of a busy pool", () => {
    const machines = new Map<string, Machine>([
      ["q1", { id: "q1", pool: "quoting", state: "up", executor: "e-q1" }],
      ["s1", { id: "s1", pool: "shipping", state: "up", executor: "e-s1" }],
      ["s2", { id: "s2", pool: "shipping", state: "up", executor: "e-s2" }],
    ]);
    const input = inputOf({
      idle: new Set(["e-q1"]),
      machines,
      loadOf: (pool) => pool === "quoting" ? 9_000 : 0,
    });
    input.waves[0]!.wave.machines = ["s1", "s2", "q1"];
    expect(planUpkeep(input).get("q1")).toBe(1);
  });

  // Guards against standby machines that wait because of the limit per pool.
  test("applies no pool limit to standby machines", () => {
    const input = inputOf();
    const machines = new Map(
      [...input.machines].map(([id, machine]) => [
        id,
        { ...machine, pool: "spare" },
      ]),
    );
    expect(planUpkeep({ ...input, machines }).size).toBe(3);
  });

  // Guards against upkeep of machines that the callers of another pool need.
  test("leaves idle machines beyond the deadline's pace to a short pool", () => {
    const ids = ["s1", "s2", "q1", "q2", "q3", "q4"];
    const machines = new Map(ids.map((id): [string, Machine] => [id, {
      id,
      pool: id.startsWith("s") ? "spare" : "quoting",
      state: "up",
      executor: `e-${id}`,
    }]));
    const input = inputOf({ machines, isPoolShort: true });
    input.waves[0]!.wave.machines = ids;
    expect([...planUpkeep(input).keys()]).toEqual(["q1", "s1"]);
    expect([...planUpkeep({ ...input, nowMs: 20_000 }).keys()])
      .toEqual(["q1", "s1", "s2"]);
  });
});
