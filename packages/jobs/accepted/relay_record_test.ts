import { expect, test } from "@jest/globals";
import { type OwnerClient, RelayResponse_Outcome } from "@lagoonloom/peers";
import { createOwnerSilence } from "../queries/owner_silence.ts";
import type { OwnerAccess } from "../queries/query_owner.ts";
import { relayRecord } from "./relay_record.ts";

const RECORD = { partition: 0, key: "a1", value: "{}" };

/** Members of which one is silent, and the calls that each got. */
type MembersFixture = { access: OwnerAccess; calls: Map<string, number> };

function createMembersFixture(silent: string): MembersFixture {
  const calls = new Map<string, number>();
  const createClient = (
    address: string,
  ): Pick<OwnerClient, "relay" | "isAnswering"> => ({
    relay() {
      calls.set(address, (calls.get(address) ?? 0) + 1);
      const outcome = RelayResponse_Outcome.STORED;
      return Promise.resolve(
        address === silent ? undefined : { outcome } as never,
      );
    },
    isAnswering: () => address !== silent || !calls.has(address),
  });
  const access: OwnerAccess = {
    localOwner: () => undefined,
    directory: {
      find: () => Promise.resolve(undefined),
      members: () => [],
      readMembers: () => Promise.resolve([]),
      invalidate: () => undefined,
    },
    client: (address) => createClient(address) as OwnerClient,
    ownAddress: "own",
    noteFullServices: () => undefined,
    silence: createOwnerSilence({ log: () => undefined }),
    storedStates: { find: () => Promise.resolve(undefined) },
  };
  return { access, calls };
}

// Guards against submissions that each wait first for a member that is silent.
test("sends records last to a member that did not answer", async () => {
  const { access, calls } = createMembersFixture("m1");
  for (let record = 0; record < 50; record++) {
    const outcome = await relayRecord(access, RECORD, {
      addresses: ["m0", "m1", "m2"],
      deadlineMs: performance.now() + 2_000,
    });
    expect(outcome).toEqual({ type: "stored" });
  }
  expect(calls.get("m1") ?? 0).toBeLessThanOrEqual(1);
});

// Guards against a record that no member stores, as all were silent before.
test("sends a record to a silent member if there is no other", async () => {
  const { access, calls } = createMembersFixture("m1");
  const options = { addresses: ["m1"], deadlineMs: performance.now() + 2_000 };
  await relayRecord(access, RECORD, options);
  const outcome = await relayRecord(access, RECORD, options);
  expect(outcome?.type).toBe("unknown");
  expect(calls.get("m1")).toBe(2);
});
