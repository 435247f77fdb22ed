import { describe, expect, test } from "@jest/globals";
import { exampleSet } from "./_fixtures.ts";
import { checkObjectSet } from "./check_object_set.ts";
import { OBJECT_KINDS, type ObjectSet } from "./object_set.ts";

describe("checkObjectSet()", () => {
  test("accepts a valid set with 3,600 hosts", () => {
    const set = exampleSet({ pools: 88, hosts: 3_600, teams: 150 });
    expect(checkObjectSet(set)).toEqual([]);
  });

  // Guards against daemons that report different problems for equal sets.
  test("returns the same problems for any order of keys", () => {
    const set = exampleSet({ pools: 3, hosts: 9, teams: 3 });
    for (const host of Object.values(set.hosts)) host.address = "10.0.0.1:1";
    set.teams["team-0"]!.quota_cores = 1_000;
    set.services["service-1"]!.pool = "none";
    const reversed = Object.fromEntries(
      OBJECT_KINDS.map((kind) => [
        kind,
        Object.fromEntries(Object.entries(set[kind]).reverse()),
      ]),
    ) as unknown as ObjectSet;
    const problems = checkObjectSet(set);
    expect(problems.length).toBeGreaterThan(9);
    expect(checkObjectSet(reversed)).toEqual(problems);
  });

  // Guards against accepting a wave that limits by rack or data centre make too
  // slow, although the pool's budget alone would not.
  test.each([
    [{ max_out_per_rack: 1 }, 4],
    [{ max_out_per_data_centre: 1 }, 4],
    [{ max_out_per_data_centre: 2 }, 2],
  ])("counts the batches under %j", (limit, batches) => {
    const set = exampleSet({ pools: 1, hosts: 12, teams: 0 });
    const service = "service-0";
    set.budgets["budget-0"] = { service, min_available: 1, ...limit };
    set.waves["kernel"]!.outage_s = 3_600;
    set.waves["kernel"]!.finish_within_h = batches;
    expect(checkObjectSet(set)).toEqual([]);
    set.waves["kernel"]!.finish_within_h = batches - 0.1;
    expect(checkObjectSet(set)).toMatchObject([{ field: "finish_within_h" }]);
  });

  test("treats spellings of an IPv6 address as the same address", () => {
    const set = exampleSet({ pools: 1, hosts: 12, teams: 0 });
    set.hosts["host-0"]!.address = "[::1]:80";
    set.hosts["host-1"]!.address = "[0:0:0:0:0:0:0:1]:80";
    expect(checkObjectSet(set)).toMatchObject([{ name: "host-1" }]);
  });
});
