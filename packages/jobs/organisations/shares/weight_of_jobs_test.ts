import { expect, test } from "@jest/globals";
import { createAccepted, createStep } from "../../_fixtures.ts";
import { JOBS, type OwnerFixture, setUpOwners } from "../../_fixtures.ts";

let fixture: OwnerFixture;
setUpOwners((created) => fixture = created);

/** Stores jobs that an organisation has sent, one every 100 ms. */
function acceptJobs(organisation: string | undefined, count: number): void {
  for (let index = 0; index < count; index++) {
    const key = `${organisation?.charCodeAt(0) ?? 99}${index}`.padStart(
      16,
      "0",
    );
    const accepted = createAccepted([createStep()]);
    accepted.acceptedAtMs += 100 * index - 5_000;
    const value = JSON.stringify({ ...accepted, organisation });
    fixture.store.put(JOBS, { key, value });
  }
}

/** Returns how many jobs an owner counts as beyond a weight. */
async function countBeyondWeight(epoch: number): Promise<number> {
  const owner = await fixture.startOwner(epoch);
  return [...owner.jobs.values()]
    .filter(({ isBeyondWeight }) => isBeyondWeight).length;
}

// Guards against a new owner that takes the whole backlog of an organisation
// for within its weight, or counts it by the time at which it was read.
test("marks the same jobs after a takeover", async () => {
  const cap = { cpu: 0, memoryMb: 0, accelerators: 0 };
  fixture.configuration = {
    ...fixture.configuration,
    organisations: [{ name: "league", apiKeys: [], weight: 2, cap }],
  };
  acceptJobs("league", 20);
  acceptJobs(undefined, 20);
  // Four come at once, then two a second for 1.9 s.
  expect(await countBeyondWeight(1)).toBe(20 - 4 - 3);
  expect(await countBeyondWeight(2)).toBe(20 - 4 - 3);
});

// Guards against marks where the configuration has no organisations.
test("marks no job without organisations", async () => {
  acceptJobs("league", 20);
  expect(await countBeyondWeight(1)).toBe(0);
});
