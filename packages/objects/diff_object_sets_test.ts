import { describe, expect, test } from "@jest/globals";
import { exampleSet } from "./_fixtures.ts";
import { applySetChange } from "./apply_set_change.ts";
import { describeChange } from "./describe_change.ts";
import { diffObjectSets } from "./diff_object_sets.ts";
import { SetChange } from "./set_change.ts";

const before = exampleSet({ pools: 2, hosts: 6, teams: 1 });
const after = {
  ...before,
  hosts: {
    ...before.hosts,
    "host-1": { ...before.hosts["host-1"]!, slots: 4 },
  },
  teams: { constructor: before.teams["team-0"]! },
};

describe("diffObjectSets()", () => {
  // Guards against a published change that results in another set.
  test("returns the change that turns one set into the other", () => {
    const change = diffObjectSets(before, after);
    expect(SetChange.safeParse(change).success).toBe(true);
    expect(applySetChange(before, change)).toEqual(after);
    expect(describeChange(change, before)).toEqual([
      "~ host host-1: slots 8 -> 4",
      "+ team constructor",
      "- team team-0",
    ]);
  });

  test("returns no change if only the order of fields differs", () => {
    const reversed = Object.fromEntries(
      Object.entries(before.hosts["host-1"]!).reverse(),
    ) as typeof before.hosts[string];
    const same = { ...before, hosts: { ...before.hosts, "host-1": reversed } };
    expect(diffObjectSets(before, same)).toEqual({ put: {}, removed: [] });
  });
});
