import { describe, expect, test } from "@jest/globals";
import { isIsolated, type Reporters } from "./is_isolated.ts";

const OWNERS = ["a", "b", "c", "d", "e"];

/** Creates reports, written as the reporters of each owner. */
function createReporters(reports: Record<string, string>): Reporters {
  return new Map(
    Object.entries(reports).map(([target, reporters]) =>
      [target, new Set(reporters)] as const
    ),
  );
}

/** Creates the reports of members in a cut into sides. */
function cutInto(...sides: string[]): Reporters {
  const reports: Record<string, string> = {};
  for (const side of sides) {
    const others = sides.filter((other) => other !== side);
    // A member that is alone on its side reaches no owner, so it can't report.
    const reporters = others.filter((other) => other.length > 1).join("");
    for (const member of side) reports[member] = reporters;
  }
  return createReporters(reports);
}

function findIsolated(owners: string[], reporters: Reporters): string[] {
  return owners.filter((owner) => isIsolated(owner, { owners, reporters }));
}

/** Creates a generator of random numbers below a limit. */
function createRandom(seed: number): (limit: number) => number {
  let state = seed;
  return (limit) => {
    state = (state * 48_271) % 2_147_483_647;
    return state % limit;
  };
}

describe("isIsolated", () => {
  // Guards against an owner that keeps its partitions while nobody reaches it.
  test("finds the owner that all others report", () => {
    const reporters = createReporters({ c: "abde" });
    expect(findIsolated(OWNERS, reporters)).toEqual(["c"]);
  });

  // Guards against both sides of a cut giving up their partitions.
  test("finds only the smaller side of a cut", () => {
    expect(findIsolated(OWNERS, cutInto("abc", "de"))).toEqual(["d", "e"]);
  });

  // Guards against partitions that change hands without a better side.
  test("finds nobody in an even cut", () => {
    const owners = ["a", "b", "c", "d"];
    expect(findIsolated(owners, cutInto("ab", "cd"))).toEqual([]);
  });

  // Guards against jobs that nobody runs while all links are down.
  test("finds nobody while all owners are reported", () => {
    const reporters = createReporters({
      a: "bcde",
      b: "acde",
      c: "abde",
      d: "abce",
      e: "abcd",
    });
    expect(findIsolated(OWNERS, reporters)).toEqual([]);
  });

  // Guards against a few members with a bad link that take partitions away.
  test("does not count the reports of members that own nothing", () => {
    const reporters = createReporters({ c: "abxyz" });
    expect(findIsolated(OWNERS, reporters)).toEqual([]);
  });

  // Guards against one member that takes the partitions of the other one.
  test("finds nobody among two owners", () => {
    const reporters = createReporters({ b: "axyz" });
    expect(findIsolated(["a", "b"], reporters)).toEqual([]);
  });

  // Guards against partitions without any owner after cuts of any shape.
  test("leaves at least two owners after random cuts", () => {
    for (let seed = 1; seed <= 500; seed++) {
      const random = createRandom(seed);
      let owners = [...OWNERS, "f", "g"].slice(0, 3 + random(5));
      const reports: Record<string, string> = {};
      for (const target of owners) {
        const reporters = owners.filter((owner) =>
          owner !== target && random(3) > 0
        );
        reports[target] = reporters.join("");
      }
      const reporters = createReporters(reports);
      const together = findIsolated(owners, reporters);
      expect(together.length).toBeLessThan(owners.length);
      let next: string[];
      while ((next = findIsolated(owners, reporters)).length > 0) {
        const leaving = next[random(next.length)];
        owners = owners.filter((owner) => owner !== leaving);
      }
      expect(owners.length).toBeGreaterThanOrEqual(2);
    }
  });
});
