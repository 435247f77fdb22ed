import { describe, expect, test } from "@jest/globals";
import { splitAddress } from "./split_address.ts";

describe("splitAddress()", () => {
  // Guards against a daemon that cannot listen on or connect to IPv6 addresses.
  test.each([
    ["127.0.0.1:80", { host: "127.0.0.1", port: 80 }],
    ["[::1]:80", { host: "::1", port: 80 }],
  ])("splits %s", (address, parts) => {
    expect(splitAddress(address)).toEqual(parts);
  });
});
