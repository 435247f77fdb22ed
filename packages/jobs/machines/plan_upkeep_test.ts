import { describe, expect, test } from "@jest/globals";
import type { Machine } from "../fleet.ts";
import { planUpkeep, type UpkeepView } from "./plan_upkeep.ts";

function viewOf(fields: Partial<UpkeepView> = {}): UpkeepView {
  const ids = ["q1", "q2", "q3", "q4", "q5", "q6"];
  return {
    waves: [{
      wave: { wave: 1, machines: ids, finishByS: 26, maxDown: 3 },
      dueAtMs: 26_000,
      begun: new Set(),
    }],
    machines: new Map(ids.map((id): [string, Machine] => [
      id,
      { id, pool: "quoting", state: "up", executor: `e-${id}` },
    ])),
    down: new Set(),
    ordered: new Set(),
    idle: new Set(ids.map((id) => `e-${id}`)),
    standbyPools: new Set(["spare"]),
    loadOf: () => 0,
    nowMs: 0,
    ...fields,
  };
}

describe("planUpkeep", () => {
  // Guards against more machines down for a wave than it allows (LIMIT).
  test("keeps the wave's bound", () => {
    const down = new Set(["q1", "q2"]);
    const ordered = new Set(["q1", "q2"]);
    expect(planUpkeep(viewOf({ down, ordered })).size).toBeLessThanOrEqual(1);
  });

  // Guards against a pool without room during a wave.
  test("takes at most a third of a pool at a time", () => {
    expect(planUpkeep(viewOf()).size).toBe(2);
  });

  // Guards against machines that are maintained twice.
  test("leaves out machines whose upkeep has begun", () => {
    const view = viewOf();
    const open = { ...view.waves[0]!, begun: new Set(["q1", "q2"]) };
    const plan = planUpkeep({ ...view, waves: [open] });
    expect(plan.has("q1")).toBe(false);
    expect(plan.size).toBe(2);
  });

  // Guards against waves that end late since every machine is busy.
  test("empties busy machines when the time asks for it", () => {
    const idle = new Set<string>();
    expect(planUpkeep(viewOf({ idle })).size).toBe(2);
    expect(planUpkeep(viewOf({ idle, nowMs: 20_000 })).size).toBe(2);
  });

  // Guards against idle machines that wait behind busy ones.
  test("takes machines that are off without counting them", () => {
    const view = viewOf();
    const machines = new Map(
      [...view.machines].map(([id, machine]) => [
        id,
        { ...machine, pool: "spare" },
      ]),
    );
    expect(planUpkeep({ ...view, machines }).size).toBe(3);
  });
});
