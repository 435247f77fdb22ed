import { describe, expect, test } from "@jest/globals";
import { splitAddress } from "./split_address.ts";

describe("splitAddress()", () => {
  // Guards against a daemon that can't listen on, or reach, an IPv6 address.
  test.each([
    ["127.0.0.1:80", { host: "127.0.0.1", port: 80 }],
    ["[::1]:80", { host: "::1", port: 80 }],
  ])("%s", (address, parts) => {
    expect(splitAddress(address)).toEqual(parts);
  });
});
