import { describe, expect, test } from "@jest/globals";
import { type Layout, partitionOf, planLayout } from "./layout.ts";

describe("planLayout", () => {
  const services = ["a", "b", "c"];

  // Guards against moving a service to another partition, where its jobs would
  // not be found.
  test("keeps the partitions of known services", () => {
    const first = planLayout(new Map(), { services, partitionCount: 32 });
    const second = planLayout(first, {
      services: [...services, "aa"],
      partitionCount: 32,
    });
    for (const [name, partitions] of first) {
      expect(second.get(name)).toEqual(partitions);
    }
  });

  // Guards against a step that needs more executors than its partition has.
  test("gives each service one partition that it shares with none", () => {
    const layout = planLayout(new Map(), { services, partitionCount: 32 });
    expect([...layout.keys()]).toEqual(services);
    const used = [...layout.values()].flat();
    expect(used).toHaveLength(services.length);
    expect(new Set(used).size).toBe(used.length);
    expect(used).not.toContain(31);
  });

  // Guards against an owner with most of the services, as each that a
  // configuration adds to a full layout went to the first partition.
  test("shares partitions evenly among services that come one by one", () => {
    let layout: Layout = new Map();
    const names = Array.from({ length: 88 }, (_, index) => `s${100 + index}`);
    for (let count = 5; count <= names.length; count++) {
      layout = planLayout(layout, {
        services: names.slice(0, count),
        partitionCount: 32,
      });
    }
    const counts = new Map<number, number>();
    for (const [partition] of layout.values()) {
      counts.set(partition!, (counts.get(partition!) ?? 0) + 1);
    }
    expect(counts.size).toBe(31);
    expect(Math.max(...counts.values())).toBe(3);
  });

  // Guards against storing jobs of a service that has no partition yet.
  test("finds no partition for an unknown service", () => {
    expect(partitionOf(new Map(), { service: "a", key: "1" })).toBeUndefined();
  });
});
