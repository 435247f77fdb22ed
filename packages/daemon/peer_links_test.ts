import { create } from "@bufbuild/protobuf";
import {
  afterEach,
  beforeEach,
  describe,
  expect,
  jest,
  test,
} from "@jest/globals";
import type { FleetState, SlotReport } from "@lagoonloom/decisions";
import {
  HeartbeatRequestSchema,
  HeartbeatResponseSchema,
  type PeerClient,
} from "@lagoonloom/peers";
import fc from "fast-check";
import { isHeartbeatInitiator } from "./is_heartbeat_initiator.ts";
import { createPeerLinks, NEAR_HEARTBEAT_INTERVAL_MS } from "./peer_links.ts";

/** Network conditions and free slots in one step of a schedule. */
type NetworkStep = {
  requestDelayMs: number;
  answerDelayMs: number;
  isRequestLost: boolean;
  isAnswerLost: boolean;
  free: number;
};

const FAULTLESS_STEP: NetworkStep = {
  requestDelayMs: 1,
  answerDelayMs: 1,
  isRequestLost: false,
  isAnswerLost: false,
  free: 0,
};

const UNREACHABLE = {
  type: "unreachable" as const,
  mayHaveArrived: true,
  isConnectionRefused: false,
  reason: "lost",
};

const sleep = (ms: number) => new Promise((resolve) => setTimeout(resolve, ms));

/** Creates two entry hosts; the current step delays or drops their messages. */
function createPair(needsAnswers: (self: string) => boolean) {
  const network = { step: FAULTLESS_STEP, requests: 0 };
  const free = { a: 0, b: 0 };
  const linksByName: Record<string, ReturnType<typeof createPeerLinks>> = {};
  const describeOwn = (member: string) => ({
    member,
    incarnation: "i1",
    dataCentre: "detroit",
    nextOffset: 0,
    generation: 0,
    setVersion: 0,
    logAgeMs: 0,
    slotBasis: 0n,
    held: [],
    busyHosts: [],
  });
  function connectTo(other: string): PeerClient {
    return {
      async heartbeat(message) {
        const { step } = network;
        network.requests++;
        await sleep(step.requestDelayMs);
        if (step.isRequestLost) return UNREACHABLE;
        const request = create(HeartbeatRequestSchema, message);
        const reply = linksByName[other]!.receiveHeartbeat(
          request,
          performance.now(),
        );
        const response = create(HeartbeatResponseSchema, {
          member: other,
          incarnation: "i1",
          ...reply,
        });
        await sleep(step.answerDelayMs);
        return step.isAnswerLost ? UNREACHABLE : { type: "answered", response };
      },
      close: () => undefined,
    } as Partial<PeerClient> as PeerClient;
  }
  for (const [self, other] of [["a", "b"], ["b", "a"]] as const) {
    linksByName[self] = createPeerLinks({
      connect: connectTo,
      describeSelf: () => describeOwn(self),
      reportSlots: () => [{ pool: "quoting", free: free[self], lent: 0 }],
      needsAnswers: () => needsAnswers(self),
      isInitiatedBy: (link) => link.name < self,
      onAnswer: () => undefined,
    });
    linksByName[self].setTargets([{ address: other, isSameDataCentre: true }]);
  }
  const { a, b } = linksByName as Record<"a" | "b", typeof linksByName[string]>;
  async function run(ms: number) {
    for (let passed = 0; passed < ms; passed += 100) {
      a.tick(performance.now());
      b.tick(performance.now());
      await jest.advanceTimersByTimeAsync(100);
    }
  }
  const countsOf = (links: typeof a, name: string): SlotReport | undefined =>
    links.find(name)?.freeSlots.get("quoting");
  return { network, free, a, b, run, countsOf };
}

beforeEach(() => void jest.useFakeTimers());

afterEach(() => void jest.useRealTimers());

describe("isHeartbeatInitiator()", () => {
  // Guards against a member that gets no promises of its watcher, and against a
  // pair of which neither initiates or, needlessly, both do.
  test.each([
    { watchers: {}, forA: false, forB: true },
    { watchers: { b: "a" }, forA: true, forB: false },
    { watchers: { a: "b" }, forA: false, forB: true },
    { watchers: { a: "b", b: "a" }, forA: false, forB: true },
  ])("with the watchers $watchers", ({ watchers, forA, forB }) => {
    const watcherOf = new Map(Object.entries(watchers));
    const members = new Map(["a", "b"].map((name) => [
      name,
      { name, watcher: watcherOf.get(name) },
    ])) as unknown as FleetState["members"];
    expect(isHeartbeatInitiator({ self: "a", other: "b" }, { members })).toBe(
      forA,
    );
    expect(isHeartbeatInitiator({ self: "b", other: "a" }, { members })).toBe(
      forB,
    );
  });
});

describe("createPeerLinks()", () => {
  // Guards against heartbeats in both directions without need, against a
  // watched member that gets no answers, and against silence when the initiator
  // fails.
  test.each([
    { case: "one side initiates", needing: "", perInterval: 1 },
    { case: "the other needs answers", needing: "b", perInterval: 2 },
  ])("$case", async ({ needing, perInterval }) => {
    const { network, run, a, b } = createPair((self) => self === needing);
    await run(3_000);
    network.requests = 0;
    await run(20 * NEAR_HEARTBEAT_INTERVAL_MS);
    expect(network.requests).toBe(20 * perInterval);
    a.close();
    network.requests = 0;
    await run(4 * NEAR_HEARTBEAT_INTERVAL_MS);
    expect(network.requests).toBeGreaterThanOrEqual(2);
    b.close();
  });

  // Guards against counts of free slots that stay wrong after lost, delayed or
  // crossing messages: requests would be forwarded to slots that are not free.
  test("agrees on free slots after lost and crossed messages", async () => {
    const oneInFour = fc.integer({ min: 0, max: 3 }).map((it) => it === 0);
    const step = fc.record({
      requestDelayMs: fc.integer({ min: 1, max: 700 }),
      answerDelayMs: fc.integer({ min: 1, max: 700 }),
      isRequestLost: oneInFour,
      isAnswerLost: oneInFour,
      free: fc.integer({ min: 0, max: 1 }),
    });
    const steps = fc.array(step, { minLength: 3, maxLength: 16 });
    await fc.assert(
      fc.asyncProperty(steps, fc.boolean(), async (schedule, bothStart) => {
        const pair = createPair(() => bothStart);
        for (const next of schedule) {
          pair.network.step = next;
          pair.free.a = next.free;
          pair.free.b = 1 - next.free;
          await pair.run(300);
        }
        pair.network.step = FAULTLESS_STEP;
        await pair.run(4_000);
        expect(pair.countsOf(pair.b, "a")?.free).toBe(pair.free.a);
        expect(pair.countsOf(pair.a, "b")?.free).toBe(pair.free.b);
      }),
      { numRuns: 500 },
    );
  });
});
