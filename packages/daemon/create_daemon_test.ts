import {
  afterEach,
  beforeEach,
  describe,
  expect,
  jest,
  test,
} from "@jest/globals";
import { createTestFleet, serveExecutor } from "@lagoonloom/standins";
import { createDeployment, publicationOf } from "./_fixtures.ts";

const advanceTime = (ms: number) => jest.advanceTimersByTimeAsync(ms);

beforeEach(() => {
  jest.useFakeTimers({
    doNotFake: ["nextTick", "queueMicrotask", "setImmediate"],
  });
});

afterEach(() => {
  jest.restoreAllMocks();
  jest.clearAllTimers();
  jest.useRealTimers();
});

function usableSlots(
  daemon: { requestPath: { freeSlotsByPool(): Map<string, number> } },
) {
  return daemon.requestPath.freeSlotsByPool().get("quoting") ?? 0;
}

/** Advances the fake clock until a promise that waits for sockets settles. */
async function advanceUntilSettled<Value>(
  promise: Promise<Value>,
): Promise<Value> {
  let isSettled = false;
  void promise.finally(() => {
    isSettled = true;
  });
  while (!isSettled) {
    await new Promise((resolve) => setImmediate(resolve));
    await advanceTime(1);
  }
  return await promise;
}

async function submit(
  daemon: ReturnType<ReturnType<typeof createDeployment>["start"]>,
  publication: ReturnType<typeof publicationOf>,
) {
  const outcome = daemon.operatorHandlers.submitChange(publication);
  await advanceTime(4_000);
  return await outcome;
}

/**
 * Creates two daemons of which only the first has the newest set, and the
 * second can't reach the log. Daemons from number 4 on are no seeds.
 */
async function createPairWithOldPeer(firstNumber = 1) {
  const { start, store } = createDeployment();
  const [first, second] = [start(firstNumber), start(2)];
  await advanceTime(2_000);
  await submit(first, publicationOf("p1", { expectedVersion: 0 }));
  second.isCutOff = true;
  const { expectedVersion, change, operator } = publicationOf("p2", {
    expectedVersion: 1,
  });
  const body = { type: "set.changed", expectedVersion, change, operator };
  store.append("control", { id: "p2", body });
  await advanceTime(10);
  const versions = [first, second].map((it) => it.fold.state().setVersion);
  expect(versions).toEqual([2, 1]);
  /** Starts a daemon without the log; also returns the versions it shows. */
  function startCutOff() {
    const third = start(3, true);
    const shown: number[] = [];
    third.fold.onChange(({ type }) => {
      if (type === "settled") shown.push(third.fold.state().setVersion);
    });
    return { third, shown };
  }
  return { first, second, startCutOff };
}

describe("createDaemon()", () => {
  // Guards against a publication that is reported as failed, or appended twice,
  // when only the log's answer was lost.
  test("accepts a publication whose append answer is lost", async () => {
    const { start, store } = createDeployment();
    const daemon = start(1);
    await advanceTime(2_000);
    store.faults.lostAnswers = 1;
    const outcome = await submit(
      daemon,
      publicationOf("p1", { expectedVersion: 0 }),
    );
    expect(outcome).toMatchObject({ type: "accepted", version: 1 });
    const { records } = store.read("control", { from: 0, limit: 100 });
    expect(records.filter(({ id }) => id === "p1")).toHaveLength(1);
    expect(usableSlots(daemon)).toBe(16);
  });

  // Guards against a publication that is accepted, or left without an answer,
  // while the log is down.
  test("refuses a publication while the log is down", async () => {
    const { start, store } = createDeployment();
    const daemon = start(1);
    await advanceTime(2_000);
    store.faults.isDown = true;
    const outcome = await submit(
      daemon,
      publicationOf("p1", { expectedVersion: 0 }),
    );
    expect(outcome).toMatchObject({ type: "refused", cause: "unavailable" });
  });

  // Guards against two accepted publications of one version, and against a
  // conflict that does not name the publication that won.
  test("lets one of two racing publications win everywhere", async () => {
    const { start } = createDeployment();
    const daemons = [start(1), start(2)] as const;
    await advanceTime(2_000);
    const outcomes = daemons.map((daemon, index) =>
      daemon.operatorHandlers.submitChange(
        publicationOf(`p${index}`, { expectedVersion: 0 }),
      )
    );
    await advanceTime(4_000);
    const [first, second] = await Promise.all(outcomes);
    expect(first).toMatchObject({ type: "accepted", version: 1 });
    expect(second).toMatchObject({
      type: "refused",
      cause: "conflict",
      winners: [{ publicationId: "p0", operator: "ada", version: 1 }],
    });
    const versions = daemons.map(({ fold }) => fold.state().setVersion);
    expect(versions).toEqual([1, 1]);
  });

  // Guards against a daemon that can't start, or starts without the set in
  // force, while the log is down.
  test("starts from a peer while the log is down", async () => {
    const { start, store } = createDeployment();
    const first = start(1);
    await advanceTime(2_000);
    await submit(first, publicationOf("p1", { expectedVersion: 0 }));
    store.faults.isDown = true;
    const second = start(2);
    expect(second.isReady()).toBe(false);
    await advanceTime(3_000);
    expect(second.isReady()).toBe(true);
    expect(second.fold.state().setVersion).toBe(1);
    // It can't join the members without the log, so it may use no slots.
    expect(usableSlots(second)).toBe(0);
  });

  // Guards against a starting daemon that shows the older set of the peer that
  // answers first.
  test("starts from the newest peer if an older one answers first", async () => {
    const { first, startCutOff } = await createPairWithOldPeer();
    first.callDelayMs = 50;
    const { third, shown } = startCutOff();
    await advanceTime(1_000);
    expect(third.isReady()).toBe(true);
    expect([...new Set(shown)]).toEqual([2]);
  });

  // Guards against a starting daemon that takes one unanswered heartbeat as the
  // loss of the peer, and shows the older set of another one.
  test("waits for a paused peer before it starts from an older one", async () => {
    const { first, startCutOff } = await createPairWithOldPeer();
    first.callDelayMs = Infinity;
    const { third, shown } = startCutOff();
    await advanceTime(1_500);
    expect(third.isReady()).toBe(false);
    first.callDelayMs = 1;
    await advanceTime(1_500);
    expect(third.isReady()).toBe(true);
    expect([...new Set(shown)]).toEqual([2]);
  });

  // Guards against a daemon that reports ready with the older set of its seed,
  // before a peer that only this seed knows has answered.
  test("is not ready before a member that is no seed has answered", async () => {
    const { first, startCutOff } = await createPairWithOldPeer(4);
    first.callDelayMs = Infinity;
    const { third } = startCutOff();
    await advanceTime(1_500);
    expect(third.fold.state().setVersion).toBe(1);
    expect(third.isReady()).toBe(false);
    first.callDelayMs = 1;
    await advanceTime(1_500);
    expect(third.isReady()).toBe(true);
    expect(third.fold.state().setVersion).toBe(2);
  });

  // Guards against a daemon without the log that waits without end for a peer
  // that never answers.
  test("starts from an older peer if the newest one stays unreachable", async () => {
    const { first, startCutOff } = await createPairWithOldPeer();
    first.callDelayMs = Infinity;
    const { third } = startCutOff();
    await advanceTime(4_000);
    expect(third.isReady()).toBe(true);
    expect(third.fold.state().setVersion).toBe(1);
  });

  // Guards against a daemon that reports ready before it has loaded a state.
  test("is not ready without the log and without a peer", async () => {
    const { start, store } = createDeployment();
    store.faults.isDown = true;
    const daemon = start(1);
    await advanceTime(10_000);
    expect(daemon.isReady()).toBe(false);
  });

  // Guards against a daemon that falls behind, or loses its slots, while only
  // other entry hosts can reach the log.
  test("follows the log through a peer", async () => {
    const { start } = createDeployment();
    const first = start(1);
    const second = start(2);
    await advanceTime(3_000);
    second.isCutOff = true;
    await submit(first, publicationOf("p1", { expectedVersion: 0 }));
    await advanceTime(5_000);
    expect(second.fold.state().setVersion).toBe(1);
    expect(usableSlots(second)).toBe(8);
    expect(second.membership.hasSlotRights()).toBe(true);
  });

  // Guards against a set that reverts to an older version when a daemon loads
  // the snapshot of a peer that is behind.
  test("never reverts to the older state of a peer", async () => {
    const { start } = createDeployment();
    const first = start(1);
    await advanceTime(2_000);
    await submit(first, publicationOf("p1", { expectedVersion: 0 }));
    const old = first.peerHandlers.snapshot();
    await submit(first, publicationOf("p2", { expectedVersion: 1 }));
    const versions: number[] = [];
    first.fold.onChange(() => versions.push(first.fold.state().setVersion));
    const second = start(2);
    second.peerHandlers.snapshot = () => old;
    second.isCutOff = true;
    await advanceTime(5_000);
    expect(versions.every((version) => version === 2)).toBe(true);
    expect(second.fold.state().setVersion).toBe(2);
  });

  // Guards against a state that can't be recovered after the log dropped its
  // first records.
  test("starts from a checkpoint after retention has passed", async () => {
    const { start, store, kill } = createDeployment({ retentionMs: 60_000 });
    const first = start(1);
    await advanceTime(2_000);
    await submit(first, publicationOf("p1", { expectedVersion: 0 }));
    await advanceTime(150_000);
    await kill(first);
    const page = store.read("control", { from: 0, limit: 1_000 });
    expect(page.oldestOffset).toBeGreaterThan(1);
    const second = start(2);
    await advanceTime(5_000);
    expect(second.isReady()).toBe(true);
    expect(second.fold.state().setVersion).toBe(1);
  });

  // Guards against slots of a dead entry host that are taken over before its
  // requests must have ended, or never.
  test("takes over the slots of a lost entry host after the fencing time", async () => {
    const { start, kill } = createDeployment();
    const daemons = [start(1), start(2)] as const;
    await advanceTime(2_000);
    await submit(daemons[0], publicationOf("p1", { expectedVersion: 0 }));
    expect(daemons.map(usableSlots)).toEqual([8, 8]);
    await kill(daemons[1]);
    await advanceTime(11_000);
    expect(usableSlots(daemons[0])).toBe(8);
    await advanceTime(5_000);
    expect(usableSlots(daemons[0])).toBe(16);
  });

  // Guards against a member that no other may report as lost, because it died
  // right after its join. Its slots would stay unused until it is replaced.
  test("takes over the slots of a member that dies at its join", async () => {
    const { start, kill } = createDeployment();
    const first = start(1);
    await advanceTime(2_000);
    await submit(first, publicationOf("p1", { expectedVersion: 0 }));
    const second = start(2);
    while (!first.fold.state().members.has(second.name)) await advanceTime(10);
    await kill(second);
    await advanceTime(1_000);
    expect(usableSlots(first)).toBe(8);
    await advanceTime(15_000);
    expect(usableSlots(first)).toBe(16);
  });

  // Guards against slots that stay unused for the fencing time although their
  // entry host left gracefully.
  test("takes over the slots of a leaving entry host at once", async () => {
    const { start } = createDeployment();
    const daemons = [start(1), start(2)] as const;
    await advanceTime(2_000);
    await submit(daemons[0], publicationOf("p1", { expectedVersion: 0 }));
    const left = daemons[1].stop({ isDrained: true });
    await advanceTime(1_500);
    await left;
    expect(usableSlots(daemons[0])).toBe(16);
  });

  // Guards against a process that resumes after a pause and sends requests on
  // slots that other entry hosts may have taken over.
  test("sends no request after a pause", async () => {
    const executor = await serveExecutor("127.0.0.1:0", { name: "e1" });
    const { start } = createDeployment();
    const [daemon] = [start(1), start(2)];
    await advanceTime(2_000);
    const set = createTestFleet({
      pools: { quoting: 1 },
      addressOf: () => executor.address,
    });
    await submit(daemon!, publicationOf("p1", { expectedVersion: 0, set }));
    const send = (requestId: string) =>
      advanceUntilSettled(daemon!.requestPath.handleForward({
        requestId,
        service: "quoting",
        urgency: "normal",
        method: "GET",
        path: "/v1/services/quoting/x",
        headers: [],
        body: new Uint8Array(),
        remainingMs: 500,
        idempotent: true,
      }));
    expect(await send("r1")).toMatchObject({ type: "answer" });
    const resumedAtMs = performance.now() + 2_500;
    jest.spyOn(performance, "now").mockReturnValue(resumedAtMs);
    expect(await send("r2")).toMatchObject({ type: "failure", notRun: true });
    expect(executor.stats.runs).toBe(1);
    await executor.close();
  });

  // Guards against new requests on a leaving host, and against an outdated host
  // list that overrides the set.
  test("combines the leaving hosts of the host list and of the log", async () => {
    const { start, hosts } = createDeployment();
    const daemon = start(1);
    await advanceTime(2_000);
    const set = createTestFleet();
    set.hosts["quoting-2"]!.state = "leaving";
    await submit(daemon, publicationOf("p1", { expectedVersion: 0, set }));
    expect(usableSlots(daemon)).toBe(8);
    hosts.push({ host: "quoting-1", state: "leaving", timeMs: 0 });
    hosts.push({ host: "quoting-2", state: "live", timeMs: 0 });
    await advanceTime(2_000);
    expect(usableSlots(daemon)).toBe(0);
    hosts.shift();
    await advanceTime(2_000);
    expect(usableSlots(daemon)).toBe(8);
  });
});
