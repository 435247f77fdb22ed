import { describe, expect, test } from "@jest/globals";
import { createEntryHosts } from "./_process_fleet.ts";

describe("createEntryHosts()", () => {
  // Guards against a daemon that cannot start, because one of its ports was
  // chosen twice. So many ports repeat one if each is chosen by itself.
  test("chooses each port once", async () => {
    const entryHosts = await createEntryHosts(400);
    const addresses = entryHosts
      .flatMap(({ callers, operators, peers }) => [callers, operators, peers]);
    expect(new Set(addresses).size).toBe(1_200);
  });
});
