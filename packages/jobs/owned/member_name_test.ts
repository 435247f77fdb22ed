import { describe, expect, test } from "@jest/globals";
import { formatMemberName, parseMemberName } from "./member_name.ts";

describe("parseMemberName", () => {
  // Guards against members that take a strong one for one of unknown capacity.
  test("returns what the name was made of", () => {
    const member = {
      address: "10.1.0.9:7060",
      capacity: { cpu: 1_350, linkMbps: 7.5 },
    };
    expect(parseMemberName(formatMemberName(member, "17"))).toEqual(member);
  });

  // Guards against calls to a partition's owner that fail during an upgrade.
  test("reads the names of members that do not tell their capacity", () => {
    expect(parseMemberName("10.1.0.9:7060#17"))
      .toEqual({ address: "10.1.0.9:7060", capacity: undefined });
  });

  // Guards against calls to an empty address.
  test("finds no member in the name of a partition without an owner", () => {
    expect(parseMemberName("")).toBeUndefined();
  });
});
