import { describe, expect, test } from "@jest/globals";
import { hasStrongerMembers } from "./candidacy.ts";
import type { MemberCapacity, NamedMember } from "./member_name.ts";

const SMALL = { cpu: 324, linkMbps: 7 };
const LARGE = { cpu: 1_350, linkMbps: 140 };

function createMembers(
  count: number,
  capacity: MemberCapacity | undefined,
): NamedMember[] {
  return Array.from(
    { length: count },
    (_, index) => ({ address: `10.0.0.${index}:1`, capacity }),
  );
}

function isAside(members: NamedMember[], usedPartitions = 6): boolean {
  return hasStrongerMembers(SMALL, { members, usedPartitions });
}

describe("hasStrongerMembers", () => {
  // Guards against a group with one owner, whose loss stops everything.
  test("asks for two stronger members at least", () => {
    expect(isAside(createMembers(1, LARGE), 1)).toBe(false);
    expect(isAside(createMembers(2, LARGE))).toBe(true);
  });

  // Guards against a few strong members with more partitions than they carry.
  test("asks for as much processor time for each partition", () => {
    expect(isAside(createMembers(2, LARGE), 8)).toBe(true);
    expect(isAside(createMembers(2, LARGE), 9)).toBe(false);
  });

  // Guards against partitions that change hands between similar machines.
  test("does not count members of a similar size", () => {
    expect(isAside(createMembers(9, { cpu: 600, linkMbps: 140 }))).toBe(false);
  });

  // Guards against owners behind a slower link, however fast they compute.
  test("does not count members with less bandwidth", () => {
    expect(isAside(createMembers(9, { cpu: 4_000, linkMbps: 5 }))).toBe(false);
  });

  // Guards against trust in members of an earlier version.
  test("does not count members of unknown capacity", () => {
    expect(isAside(createMembers(9, undefined))).toBe(false);
  });
});
