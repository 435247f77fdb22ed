import { describe, expect, test } from "@jest/globals";
import type { FleetState } from "@lagoonloom/decisions";
import { createTestFleet } from "@lagoonloom/standins";
import { createControlFold } from "../control_fold.ts";
import { createHostProbes, type ProbeResult } from "./host_probes.ts";

function createState(hosts: number): FleetState {
  const fold = createControlFold();
  const set = createTestFleet({ pools: { quoting: hosts } });
  const body = {
    type: "set.changed",
    expectedVersion: 0,
    operator: "ada",
    change: { put: set, removed: [] },
  };
  fold.fold([{ offset: 0, timeMs: 1, id: "set", body }]);
  return fold.state();
}

/** Runs rounds of probes and returns the addresses that each round probed. */
async function runRounds(
  state: FleetState,
  options: { rounds: number; isListed: boolean; result: ProbeResult },
) {
  const probed: string[][] = [];
  const probes = createHostProbes({
    dataCentre: "detroit",
    isListed: () => options.isListed,
    logNowMs: () => 1,
    probe(address) {
      probed.at(-1)!.push(address);
      return Promise.resolve(options.result);
    },
  });
  for (let round = 0; round < options.rounds; round++) {
    probed.push([]);
    probes.tick(state, round * 1_000);
    await Promise.resolve();
  }
  return { probed, healthByHost: probes.observedHealth() };
}

describe("createHostProbes()", () => {
  // Guards against hosts that count as failed because the platform's list lacks
  // them.
  test("counts reachable hosts as in service if the list lacks them", async () => {
    const { healthByHost } = await runRounds(createState(4), {
      rounds: 2,
      isListed: false,
      result: "connected",
    });
    const seen = [...healthByHost.values()].map(({ health }) => health);
    expect(seen).toEqual(Array(4).fill("in-service"));
  });

  // Guards against too many connections when many hosts fail at once, and
  // against hosts that are never probed because of the bound.
  test.each([
    { isListed: false, result: "refused" as const, most: 64, rounds: 7 },
    { isListed: true, result: "connected" as const, most: 2, rounds: 200 },
  ])(
    "probes at most $most $result hosts in a round",
    async ({ most, ...rounds }) => {
      const { probed } = await runRounds(createState(400), rounds);
      expect(Math.max(...probed.map(({ length }) => length)))
        .toBeLessThanOrEqual(most);
      expect(new Set(probed.flat()).size).toBe(400);
    },
  );
});
