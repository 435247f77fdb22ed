import { describe, expect, test } from "@jest/globals";
import { partitionOf, planLayout } from "./layout.ts";

describe("planLayout", () => {
  const sizes = new Map([["a", 6], ["b", 9], ["c", 44]]);

  // Guards against a service that moves to another partition, where its jobs
  // would not be found.
  test("never changes an entry", () => {
    const first = planLayout(new Map(), { sizes, partitionCount: 32 });
    const grown = new Map([...sizes, ["aa", 90]]);
    const second = planLayout(first, { sizes: grown, partitionCount: 32 });
    for (const [name, own] of first) expect(second.get(name)).toEqual(own);
  });

  // Guards against an owner with more work than a small machine can carry.
  test("divides large services and keeps partitions apart", () => {
    const layout = planLayout(new Map(), { sizes, partitionCount: 32 });
    expect(layout.get("c")).toHaveLength(3);
    const used = [...layout.values()].flat();
    expect(new Set(used).size).toBe(used.length);
    expect(used).not.toContain(31);
  });

  // Guards against jobs of a service that has no partition yet.
  test("knows no partition of an unknown service", () => {
    expect(partitionOf(new Map(), { service: "a", key: "1" })).toBeUndefined();
  });
});
