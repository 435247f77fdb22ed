import {
  afterEach,
  beforeEach,
  describe,
  expect,
  jest,
  test,
} from "@jest/globals";
import {
  createDeciders,
  hostsWithPermit,
  LOSS_FENCE_MS,
  publishWave,
  type TestDecider,
} from "./_fixtures.ts";

const advanceTime = (ms: number) => jest.advanceTimersByTimeAsync(ms);

/** Time in which a decider is elected and takes the first host out. */
const START_MS = 5_000;

/** Longer than a lease plus the staggered claims of three candidates. */
const TAKE_OVER_MS = 20_000;

let stop: () => void = () => undefined;

beforeEach(() => void jest.useFakeTimers());

afterEach(() => {
  stop();
  jest.useRealTimers();
});

async function startWave(
  prepare: (all: TestDecider[]) => void = () => undefined,
) {
  const deployment = createDeciders(3);
  stop = deployment.stop;
  prepare(deployment.deciders);
  publishWave(deployment);
  await advanceTime(START_MS);
  return { ...deployment, first: deployment.deciders[0]! };
}

const deciderOf = ({ fold }: TestDecider) =>
  fold.state().deciders.get("detroit");

describe("createDeciderLoop()", () => {
  // Guards against a data centre without a decider after its decider died.
  test("elects another decider after the decider died", async () => {
    const { deciders, first } = await startWave();
    expect(deciderOf(first)).toMatchObject({ holder: "detroit-1", epoch: 1 });
    first.isPaused = true;
    await advanceTime(10_000);
    expect(deciderOf(deciders[1]!)).toMatchObject({ epoch: 1 });
    await advanceTime(TAKE_OVER_MS);
    for (const decider of deciders.slice(1)) {
      expect(deciderOf(decider)).toMatchObject({
        holder: "detroit-2",
        epoch: 2,
      });
    }
  });

  // Guards against a process that is paused until its lease has ended and then
  // restarts a host, based on the state from before the pause.
  test("requests no restart when it resumes after its lease", async () => {
    const { deciders, first, restarts } = await startWave(([one]) => {
      one!.busyHosts.add("quoting-1").add("quoting-2");
    });
    expect(hostsWithPermit(first)).toHaveLength(1);
    first.isPaused = true;
    for (const other of deciders.slice(1)) other.isPaused = true;
    await advanceTime(TAKE_OVER_MS);
    first.busyHosts.clear();
    Object.assign(first, {
      isPaused: false,
      isCutOff: true,
      believesFresh: true,
    });
    await advanceTime(3_000);
    expect(restarts).toEqual([]);
  });

  // Guards against a lease that counts from the fold of its record: after a
  // pause between append and fold, an old lease would seem to be new.
  test("requests no restart after a pause between renewal and fold", async () => {
    let resume: () => void = () => undefined;
    const { deciders, first, restarts } = await startWave(([one]) => {
      one!.busyHosts.add("quoting-1").add("quoting-2");
    });
    first.foldGate = new Promise((resolve) => resume = resolve);
    await advanceTime(6_000);
    for (const decider of deciders) decider.isPaused = true;
    await advanceTime(TAKE_OVER_MS);
    first.busyHosts.clear();
    Object.assign(first, {
      isPaused: false,
      isCutOff: true,
      believesFresh: true,
      foldGate: undefined,
    });
    resume();
    await advanceTime(3_000);
    expect(first.outcomes.at(-1)).toContain("decider.claimed applied");
    expect(restarts).toEqual([]);
  });

  // Guards against a record that a decider planned before a pause and that is
  // applied after its successor took over.
  test("has its records refused after its successor took over", async () => {
    let resume: () => void = () => undefined;
    const deployment = createDeciders(3);
    stop = deployment.stop;
    const [first, second] = deployment.deciders;
    // Before the first renewal, so that the delayed record is the wave's.
    await advanceTime(3_000);
    first!.appendGate = new Promise((resolve) => resume = resolve);
    publishWave(deployment);
    await advanceTime(1_000);
    first!.isPaused = true;
    await advanceTime(TAKE_OVER_MS);
    expect(deciderOf(second!)).toMatchObject({ epoch: 2 });
    const before = first!.outcomes.length;
    resume();
    await advanceTime(1_000);
    expect(first!.outcomes.slice(before)).toEqual([
      expect.stringContaining("Epoch 1"),
    ]);
    const { restarts } = deployment;
    expect(restarts.filter(({ by }) => by === first!.name)).toEqual([]);
  });

  // Guards against a restart that interrupts requests of an entry host that has
  // not reported the host as idle.
  test.each<[string, (other: TestDecider) => void]>([
    ["is silent", (other) => other.isSilent = true],
    ["has not folded the permit", (other) => other.isPaused = true],
    ["has work", (other) => other.busyHosts.add("quoting-1").add("quoting-2")],
  ])("waits for an entry host that %s", async (_, hold) => {
    const { deciders, first, restarts } = await startWave((all) => {
      hold(all[2]!);
    });
    await advanceTime(10_000);
    expect(hostsWithPermit(first)).toHaveLength(1);
    expect(restarts).toEqual([]);
    Object.assign(deciders[2]!, { isSilent: false, isPaused: false });
    deciders[2]!.busyHosts.clear();
    await advanceTime(2_000);
    expect(restarts).toEqual([{
      host: hostsWithPermit(first)[0],
      by: first.name,
    }]);
  });

  // Guards against a restart while a lost entry host may still use its slots.
  test("waits for the fencing time of a lost entry host", async () => {
    const { deciders, first, restarts, append } = await startWave((all) => {
      all[2]!.isSilent = true;
    });
    const [member, watcher] = ["detroit-3", "detroit-1"];
    const identity = { member, incarnation: "i1", watcher };
    append("watched", { type: "member.watched", ...identity });
    append("lost", { type: "member.lost", ...identity });
    deciders[2]!.isPaused = true;
    await advanceTime(LOSS_FENCE_MS - 1_000);
    expect(first.fold.state().members.size).toBe(2);
    expect(restarts).toEqual([]);
    await advanceTime(3_000);
    expect(restarts).toHaveLength(1);
  });

  // Guards against a host that is taken out of service, or returned, while the
  // budgets can't be checked.
  test("takes no host out of service while the log is down", async () => {
    const { deciders, first, store, restarts } = await startWave((all) => {
      all[0]!.busyHosts.add("quoting-1").add("quoting-2");
    });
    const out = hostsWithPermit(first);
    const { nextOffset } = store.read("control", { from: 0, limit: 500 });
    store.faults.isDown = true;
    // Longer than the age up to which the state counts as recent.
    await advanceTime(3_000);
    first.busyHosts.clear();
    await advanceTime(TAKE_OVER_MS);
    expect(restarts).toEqual([]);
    expect(store.read("control", { from: 0, limit: 500 }))
      .toMatchObject({ nextOffset });
    for (const decider of deciders) {
      expect(hostsWithPermit(decider)).toEqual(out);
    }
    store.faults.isDown = false;
    await advanceTime(TAKE_OVER_MS);
    expect(restarts).toMatchObject([{ host: out[0] }]);
  });

  // Guards against a host whose permit is never returned, and against a second
  // host that goes out of service before the first one is back.
  test("returns the permit of a host that is back in service", async () => {
    const { deciders, first } = await startWave();
    const [host] = hostsWithPermit(first);
    const see = (health: "in-service" | "failed") =>
      deciders.forEach(({ observedHealth }) =>
        observedHealth.set(host!, { health, sinceMs: 0 })
      );
    see("failed");
    await advanceTime(3_000);
    expect(hostsWithPermit(first)).toEqual([host]);
    see("in-service");
    await advanceTime(3_000);
    expect(first.fold.state().waves.get("kernel")?.done.has(host!)).toBe(true);
    expect(hostsWithPermit(first)).toEqual(
      ["quoting-1", "quoting-2"].filter((name) => name !== host),
    );
  });
});
