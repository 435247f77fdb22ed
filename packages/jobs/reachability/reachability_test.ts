import {
  afterEach,
  beforeEach,
  describe,
  expect,
  jest,
  test,
} from "@jest/globals";
import { createMemoryStore, type MemoryStore } from "@lagoonloom/standins";
import { advanceTime } from "../_fixtures.ts";
import { encodeReport, REACH_PARTITION } from "./failure_report.ts";
import { createReachability, type Reachability } from "./reachability.ts";

const ADDRESSES = ["a:1", "b:1", "c:1", "d:1"];

/** Time in which members agree on reports, and some more. */
const SETTLE_MS = 12_000;

const FAILURE = { code: "unavailable", tookMs: 0, timeoutMs: 800 };

describe("createReachability", () => {
  let store: MemoryStore;
  let members: Map<string, Reachability>;
  /** Members outside the group that never join it. */
  let outsiders: Set<string>;
  /** Calls that fail, as caller and callee. */
  let cut: (from: string, to: string) => boolean;
  let appends: number;

  const owners = () =>
    [...members.keys()].filter((address) =>
      !outsiders.has(address) && members.get(address)!.mayOwn()
    );

  const call = (from: string, to: string): boolean => {
    const member = members.get(from)!;
    const isAnswered = !cut(from, to);
    if (isAnswered) member.noteAnswer(to);
    else member.noteFailure(to, FAILURE);
    return isAnswered;
  };

  const start = (ownAddress: string) => {
    const reachability = createReachability({
      store: {
        ...store,
        append(...args) {
          appends++;
          return store.append(...args);
        },
      },
      events: { log: () => undefined },
      ownAddress,
      isInGroup: () => owners().includes(ownAddress),
      directory: {
        readMembers: () =>
          Promise.resolve(
            owners().map((address) => ({ address, capacity: undefined })),
          ),
      },
      reach: (address) => Promise.resolve(call(ownAddress, address)),
    });
    members.set(ownAddress, reachability);
  };

  beforeEach(async () => {
    jest.useFakeTimers();
    store = createMemoryStore({ partitions: 1 });
    members = new Map();
    outsiders = new Set();
    cut = () => false;
    appends = 0;
    for (const address of ADDRESSES) start(address);
    await advanceTime(2_000);
  });

  afterEach(async () => {
    for (const member of members.values()) member.close();
    await advanceTime(SETTLE_MS);
    jest.useRealTimers();
  });

  // Guards against an owner whose failures only one member notices.
  test("gathers the reports of the others after one member's failed call", async () => {
    cut = (_, to) => to === "d:1";
    call("a:1", "d:1");
    await advanceTime(SETTLE_MS);
    expect(owners()).toEqual(["a:1", "b:1", "c:1"]);
  });

  // Guards against one bad link that makes an owner give up its partitions.
  test("changes nothing if one member alone gets no answer", async () => {
    cut = (from, to) => from === "a:1" && to === "d:1";
    call("a:1", "d:1");
    await advanceTime(SETTLE_MS);
    expect(appends).toBeGreaterThan(0);
    expect(owners()).toEqual(ADDRESSES);
  });

  // Guards against reports of members that are cut off themselves.
  test("stores nothing while nobody reaches anybody", async () => {
    cut = () => true;
    for (const from of ADDRESSES) {
      for (const to of ADDRESSES) if (from !== to) call(from, to);
    }
    await advanceTime(SETTLE_MS);
    expect(appends).toBe(0);
    expect(owners()).toEqual(ADDRESSES);
  });

  // Guards against reports of a time in which the reporter was cut off.
  test("stores nothing at once when a member is reached again", async () => {
    cut = (from) => from === "a:1";
    for (const to of ADDRESSES.slice(1)) call("a:1", to);
    await advanceTime(SETTLE_MS);
    cut = (from, to) => from === "a:1" && to === "d:1";
    await advanceTime(1_000);
    cut = () => false;
    await advanceTime(SETTLE_MS);
    expect(appends).toBe(0);
  });

  // Guards against reports at each ordinary loss of a member.
  test("stores nothing for an owner that leaves the group", async () => {
    cut = (_, to) => to === "d:1";
    outsiders.add("d:1");
    call("a:1", "d:1");
    await advanceTime(SETTLE_MS);
    expect(appends).toBe(0);
  });

  // Guards against partitions that move to and fro during a long cut.
  test("stays out for longer each time it is not reached", async () => {
    const isOut: boolean[] = [];
    cut = (_, to) => to === "d:1";
    for (let seconds = 0; seconds < 240; seconds++) {
      if (seconds % 10 === 0) call("a:1", "d:1");
      await advanceTime(1_000);
      isOut.push(!owners().includes("d:1"));
    }
    const turns = isOut.filter((value, index) => value && !isOut[index - 1]);
    expect(turns.length).toBeLessThanOrEqual(4);
    expect(isOut.filter(Boolean).length).toBeGreaterThan(200);
    cut = () => false;
    await advanceTime(90_000);
    expect(owners()).toEqual(ADDRESSES);
  });

  // Guards against jobs that nobody runs after the loss of all other owners.
  test("comes back if no other owner is left", async () => {
    cut = (_, to) => to === "d:1";
    call("a:1", "d:1");
    await advanceTime(SETTLE_MS);
    expect(owners()).not.toContain("d:1");
    for (const address of ["a:1", "b:1", "c:1"]) outsiders.add(address);
    await advanceTime(SETTLE_MS);
    expect(owners()).toEqual(["d:1"]);
  });

  // Guards against reports of an earlier trouble that count again at a start.
  test("does not count what was stored before it started", async () => {
    for (const reporter of ["a:1", "b:1", "c:1", "d:1"]) {
      store.put(REACH_PARTITION, encodeReport({ target: "e:1", reporter }));
    }
    await advanceTime(SETTLE_MS);
    start("e:1");
    await advanceTime(SETTLE_MS);
    expect(owners()).toContain("e:1");
  });
});
