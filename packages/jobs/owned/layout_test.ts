import { describe, expect, test } from "@jest/globals";
import { partitionOf, planLayout } from "./layout.ts";

describe("planLayout", () => {
  const executorCounts = new Map([["a", 6], ["b", 9], ["c", 44]]);

  // Guards against moving a service to another partition, where its jobs would
  // not be found.
  test("keeps the partitions of known services", () => {
    const first = planLayout(new Map(), { executorCounts, partitionCount: 32 });
    const grown = new Map([...executorCounts, ["aa", 90]]);
    const second = planLayout(first, {
      executorCounts: grown,
      partitionCount: 32,
    });
    for (const [name, partitions] of first) {
      expect(second.get(name)).toEqual(partitions);
    }
  });

  // Guards against giving one owner more work than a small machine can do.
  test("gives large services several partitions and shares none", () => {
    const layout = planLayout(new Map(), {
      executorCounts,
      partitionCount: 32,
    });
    expect(layout.get("c")).toHaveLength(3);
    const used = [...layout.values()].flat();
    expect(new Set(used).size).toBe(used.length);
    expect(used).not.toContain(31);
  });

  // Guards against storing jobs of a service that has no partition yet.
  test("finds no partition for an unknown service", () => {
    expect(partitionOf(new Map(), { service: "a", key: "1" })).toBeUndefined();
  });
});
