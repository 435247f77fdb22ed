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
import { type OwnerAccess, queryJobState } from "./query_owner.ts";

const TIMEOUT_MS = 2_000;

/** Owner that the store names, and how the members behind it answer. */
type Owners = {
  /** Address that the store names; undefined while there is no owner. */
  named: string | undefined;
  /** Answers a call within its time; undefined for no answer. */
  answer(address: string): Promise<string | undefined>;
  calls: string[];
};

let owners: Owners;
let access: OwnerAccess;

const never = () => new Promise<undefined>(() => undefined);

function createClient(address: string): OwnerClient {
  const show = async (_: unknown, timeoutMs: number) => {
    owners.calls.push(address);
    const timeout = sleep(timeoutMs).then(() => undefined);
    const state = await Promise.race([owners.answer(address), timeout]);
    if (state === undefined) return undefined;
    return { isOwner: true, state, full: [] } as unknown as ShowResponse;
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
      calls: [],
    };
    access = createAccess();
  });

  afterEach(() => {
    jest.useRealTimers();
  });

  // Guards against tries that all end just before a slow answer comes.
  test("waits for an answer that takes longer than a lookup", async () => {
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
  });

  // Guards against a job that is denied since its owner is silent, and a log
  // line that doesn't say why.
  test("tells the owner, the calls and the reason when nothing is known", async () => {
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
});
