import {
  afterEach,
  beforeEach,
  describe,
  expect,
  jest,
  test,
} from "@jest/globals";
import type { OwnerClient, ShowResponse } from "@lagoonloom/peers";
import { advanceTime } from "../_fixtures.ts";
import { sleep } from "../_sleep.ts";
import { JOB_ID, PARTITION } from "../_record_fixtures.ts";
import { createOwnerSilence } from "./owner_silence.ts";
import { type OwnerAccess, queryJobState } from "./query_owner.ts";
import type { StoredState } from "./stored_states.ts";

const TIMEOUT_MS = 2_000;

/** Owner that the store names, and how the members behind it answer. */
type Owners = {
  /** Address that the store names; undefined while there is no owner. */
  named: string | undefined;
  /** Answers a call within its time; undefined for no answer. */
  answer(address: string): Promise<string | undefined>;
  stored: StoredState | undefined;
  storedReads: number;
  calls: string[];
};

let owners: Owners;
let access: OwnerAccess;
let logged: string[];

const never = () => new Promise<undefined>(() => undefined);

function createClient(address: string): OwnerClient {
  const show = async (_: unknown, timeoutMs: number) => {
    owners.calls.push(address);
    const timeout = sleep(timeoutMs).then(() => undefined);
    const state = await Promise.race([owners.answer(address), timeout]);
    if (state === undefined) return undefined;
    const isUnavailable = state === "unavailable";
    const isOwner = state !== "denied";
    const answer = { isOwner, state, isUnavailable, full: [] };
    return answer as unknown as ShowResponse;
  };
  return { show } as unknown as OwnerClient;
}

function createAccess(): OwnerAccess {
  return {
    localOwner: () => undefined,
    directory: {
      find: () => Promise.resolve(owners.named),
      members: () => [],
      readMembers: () => Promise.resolve([]),
      invalidate: () => undefined,
    },
    client: createClient,
    ownAddress: "self:1",
    silence: createOwnerSilence({
      log: (name, fields) => logged.push(`${name} ${JSON.stringify(fields)}`),
    }),
    storedStates: {
      find() {
        owners.storedReads++;
        return Promise.resolve(owners.stored);
      },
    },
    noteFullServices: () => undefined,
  };
}

/** Queries the state and lets time pass until there is a result. */
async function query() {
  const startedMs = performance.now();
  const result = queryJobState(access, {
    partition: PARTITION,
    job: JOB_ID,
    caller: {},
    timeoutMs: TIMEOUT_MS,
  });
  let isDone = false;
  void result.finally(() => isDone = true);
  while (!isDone) await advanceTime(10);
  return { result: await result, tookMs: performance.now() - startedMs };
}

describe("queryJobState", () => {
  beforeEach(() => {
    jest.useFakeTimers();
    owners = {
      named: "owner:1",
      answer: never,
      stored: { type: "known", value: "completed" },
      storedReads: 0,
      calls: [],
    };
    logged = [];
    access = createAccess();
  });

  afterEach(() => {
    jest.useRealTimers();
  });

  // Guards against the incident of 2026-12-08: an owner that renews its
  // membership and answers no member.
  test("shows the stored state while the named owner is silent", async () => {
    await query();
    const { result } = await query();
    expect(result).toEqual({ type: "known", value: "completed" });
  });

  // Guards against each caller waiting anew for an owner known to be silent.
  test("shows the stored state sooner to the next callers", async () => {
    const first = await query();
    const second = await query();
    expect(second.result).toMatchObject({ type: "known" });
    expect(second.tookMs).toBeLessThan(first.tookMs / 2);
  });

  // Guards against tries that all end just before a slow answer comes.
  test("waits for an answer that takes longer than a lookup", async () => {
    owners.stored = undefined;
    owners.answer = () => sleep(1_500).then(() => "running");
    const { result } = await query();
    expect(result).toEqual({ type: "known", value: "running" });
    expect(owners.calls).toEqual(["owner:1"]);
  });

  // Guards against waiting for an earlier owner whose partition has moved.
  test("asks the next owner while the call to the earlier one is open", async () => {
    setTimeout(() => owners.named = "owner:2", 500);
    owners.answer = (address) =>
      address === "owner:2" ? Promise.resolve("queued") : never();
    const { result } = await query();
    expect(result).toEqual({ type: "known", value: "queued" });
    expect(owners.storedReads).toBe(0);
  });

  // Guards against all members reading a partition in each takeover.
  test("does not read the store while the store names no owner yet", async () => {
    owners.named = undefined;
    const { result } = await query();
    expect(result).toMatchObject({ type: "unavailable" });
    expect(owners.storedReads).toBe(0);
  });

  // Guards against the same as the store names a lost owner for a while, and
  // then one that has not loaded the partition.
  test("does not read the store in a takeover", async () => {
    let state = "denied";
    setTimeout(() => owners.named = "owner:2", 1_600);
    setTimeout(() => state = "running", 2_500);
    owners.answer = (address) =>
      address === "owner:2" ? Promise.resolve(state) : never();
    await query();
    const { result } = await query();
    expect(result).toEqual({ type: "known", value: "running" });
    expect(owners.storedReads).toBe(0);
  });

  // Guards against a query that waits for nothing but the store from the time
  // on at which it reads the state there.
  test("asks the next owner while the stored state is read", async () => {
    await query();
    access.storedStates.find = never;
    setTimeout(() => owners.named = "owner:2", 500);
    owners.answer = (address) =>
      address === "owner:2" ? Promise.resolve("queued") : never();
    const { result } = await query();
    expect(result).toEqual({ type: "known", value: "queued" });
  });

  // Guards against an answer that waits for the store's list of owners.
  test("returns an answer while the owner is looked up again", async () => {
    owners.answer = () => sleep(600).then(() => "running");
    const { find } = access.directory;
    let lookups = 0;
    access.directory.find = async (partition) => {
      if (lookups++ > 0) await sleep(1_000);
      return await find(partition);
    };
    const { result, tookMs } = await query();
    expect(result).toEqual({ type: "known", value: "running" });
    expect(tookMs).toBeLessThan(1_000);
  });

  // Guards against a partition without an owner whose jobs can't be queried.
  test("shows the stored state of a partition that stays without an owner", async () => {
    owners.named = undefined;
    await query();
    const { result } = await query();
    expect(result).toEqual({ type: "known", value: "completed" });
  });

  // Guards against a job that is denied since its owner is silent, and a log
  // line that doesn't say why.
  test("tells the owner, the calls and the reason when nothing is known", async () => {
    owners.stored = undefined;
    const { result } = await query();
    expect(result).toEqual({
      type: "unavailable",
      failure: {
        partition: PARTITION,
        owner: "owner:1",
        calls: 1,
        reason: "the owner gave no answer as such",
        tookMs: expect.any(Number),
      },
    });
  });

  // Guards against a job that was accepted while its owner does not reach the
  // store, unlike the member that is asked.
  test("shows the stored state while the owner can't read it", async () => {
    owners.answer = () => Promise.resolve("unavailable");
    const { result } = await query();
    expect(result).toEqual({ type: "known", value: "completed" });
    owners.stored = undefined;
    const { result: unknown } = await query();
    expect(unknown).toEqual({ type: "unavailable" });
  });

  // Guards against a silence that operators see only by its many calls.
  test("logs a silence and its end once, whatever the number of queries", async () => {
    await query();
    await query();
    expect(logged).toEqual([
      expect.stringMatching(/^storedStatesShown .*"owner":"owner:1"/),
    ]);
    owners.answer = () => Promise.resolve("completed");
    await query();
    await query();
    expect(logged).toHaveLength(2);
    expect(logged[1]).toMatch(/^ownerAnswersAgain /);
  });

  // Guards against stored states that stay in use once the owner is back.
  test("asks the owner again as soon as it answers", async () => {
    await query();
    owners.answer = () => Promise.resolve("completed");
    await query();
    const reads = owners.storedReads;
    owners.answer = () => sleep(1_100).then(() => "completed");
    await query();
    expect(owners.storedReads).toBe(reads);
  });
});
