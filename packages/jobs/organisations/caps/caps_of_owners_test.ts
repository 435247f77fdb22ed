import {
  afterEach,
  beforeEach,
  describe,
  expect,
  jest,
  test,
} from "@jest/globals";
import {
  advanceTime,
  createStep,
  JOB_ID,
  NEXT_JOB_ID,
} from "../../_fixtures.ts";
import { type CapsWorld, createCapsWorld, STOP_MS } from "./_caps_world.ts";

const CAP = { cpu: 12_000, memoryMb: 0, accelerators: 0 };

/** Cap with the part by which it may be exceeded, in tasks of one core. */
const MAX_RUNNING = 13;

/** Time in which a lost owner or broker has a successor. */
const REPLACEMENT_MS = 1_700;

const lasting = (count: number) => createStep({ count, isLasting: true });

describe("owners with a broker of the caps", () => {
  let world: CapsWorld;

  beforeEach(() => {
    jest.useFakeTimers();
    world = createCapsWorld();
  });

  afterEach(() => {
    world.close();
    jest.useRealTimers();
  });

  const expectWithinCap = () =>
    expect(world.highestCpu).toBeLessThanOrEqual(1_100 * CAP.cpu / 1_000);

  // Guards against a cap that holds in each service only (QUOTA).
  test("keep to the cap over all services", async () => {
    world.setCap(CAP);
    world.startBroker();
    await advanceTime(1_000);
    world.accept(JOB_ID, { partition: 0, step: lasting(30) });
    world.accept(NEXT_JOB_ID, { partition: 1, step: lasting(30) });
    await advanceTime(5_000);
    expectWithinCap();
    expect(world.countRunning()).toBeGreaterThanOrEqual(11);
    expect(world.logged.some((it) => it.startsWith("organisationAtCap")))
      .toBe(true);
  });

  // Guards against a cap of which a part lies idle in other services.
  test("use in one service what the others leave", async () => {
    world.setCap(CAP);
    world.startBroker();
    await advanceTime(1_000);
    world.accept(JOB_ID, { partition: 2, step: lasting(30) });
    await advanceTime(500);
    expect(world.countRunning(2)).toBeGreaterThanOrEqual(11);
    expectWithinCap();
  });

  // Guards against a successor that takes what it doesn't know for free.
  test.each([
    ["the broker", ["broker"]],
    ["an owner", ["owner"]],
    ["both", ["broker", "owner"]],
  ])("keep to the cap as %s is lost", async (_, lost) => {
    world.setCap(CAP);
    world.startBroker();
    await advanceTime(1_000);
    world.accept(JOB_ID, { partition: 0, step: lasting(30) });
    await advanceTime(3_000);
    // Nothing answers for the executors of the first partition.
    if (lost.includes("owner")) {
      world.killOwner(0);
      world.executors.get("e0-1")!.fault = "unreachable";
    }
    if (lost.includes("broker")) world.killBroker();
    world.accept(NEXT_JOB_ID, { partition: 1, step: lasting(30) });
    await advanceTime(REPLACEMENT_MS);
    if (lost.includes("owner")) world.startOwner(0);
    if (lost.includes("broker")) world.startBroker();
    await advanceTime(12_000);
    expectWithinCap();
    expect(world.countRunning()).toBeGreaterThanOrEqual(11);
    expect(world.countRunning()).toBeLessThanOrEqual(MAX_RUNNING);
  });

  // Guards against runs of cancelled jobs that the next owner does not count
  // while it stops them (QUOTA).
  test("count runs that the next owner only stops", async () => {
    world.setCap(CAP);
    world.startBroker();
    await advanceTime(1_000);
    world.accept(JOB_ID, { partition: 0, step: lasting(12) });
    await advanceTime(3_000);
    world.killOwner(0);
    world.cancel(JOB_ID, 0);
    world.accept(NEXT_JOB_ID, { partition: 0, step: lasting(12) });
    world.startOwner(0);
    await advanceTime(STOP_MS - 300);
    expect(world.countRunning()).toBeGreaterThanOrEqual(11);
    await advanceTime(3_000);
    expectWithinCap();
    expect(world.countRunning()).toBeGreaterThanOrEqual(11);
  });

  // Guards against a limit that a broker lends twice, as its owner is cut off.
  test("keep to the cap while the broker does not reach one", async () => {
    world.setCap(CAP);
    world.startBroker();
    await advanceTime(1_000);
    world.cut.add(0);
    world.accept(JOB_ID, { partition: 0, step: lasting(30) });
    world.accept(NEXT_JOB_ID, { partition: 1, step: lasting(30) });
    await advanceTime(3_000);
    expectWithinCap();
    expect(world.countRunning(0)).toBe(4);
    expect(world.countRunning(1)).toBeGreaterThanOrEqual(7);
  });

  // Guards against an organisation that starves at a silent broker's cap.
  test("start something under their floors without a broker", async () => {
    world.setCap({ ...CAP, cpu: 60_000 });
    await advanceTime(1_000);
    world.accept(JOB_ID, { partition: 0, step: lasting(30) });
    await advanceTime(1_000);
    expect(world.countRunning()).toBe(2);
  });

  // Guards against stops, and starts too many, as operators lower a cap.
  test("only delay starts when a cap is lowered", async () => {
    world.setCap(CAP);
    world.startBroker();
    await advanceTime(1_000);
    world.accept(JOB_ID, { partition: 0, step: lasting(30) });
    await advanceTime(2_000);
    const before = world.countRunning();
    world.setCap({ ...CAP, cpu: 50_000 });
    world.setCap({ ...CAP, cpu: 6_000 });
    await advanceTime(3_000);
    expect(world.countRunning()).toBe(before);
    for (const executor of world.executors.values()) {
      for (const task of [...executor.running.keys()].slice(0, 6)) {
        executor.end(task, "done");
      }
    }
    await advanceTime(3_000);
    expect(world.countRunning()).toBeLessThanOrEqual(6);
    expect(world.countRunning()).toBeGreaterThanOrEqual(5);
  });

  // Guards against accepted jobs without any limit, or without any start.
  test("go on under the last cap of an organisation that is dropped", async () => {
    world.setCap(CAP);
    world.startBroker();
    await advanceTime(1_000);
    world.accept(JOB_ID, { partition: 0, step: lasting(30) });
    await advanceTime(2_000);
    world.configuration = { ...world.configuration, organisations: [] };
    await advanceTime(2_000);
    expect(world.countRunning()).toBeGreaterThanOrEqual(11);
    expectWithinCap();
  });

  // Guards against a limit where operators have set none.
  test.each([
    ["there are no organisations", undefined],
    ["a cap is 0", { cpu: 0, memoryMb: 0, accelerators: 0 }],
  ])("start all tasks if %s", async (_, cap) => {
    world.setCap(cap);
    world.startBroker();
    world.accept(JOB_ID, { partition: 0, step: lasting(30) });
    await advanceTime(1_000);
    expect(world.countRunning()).toBe(30);
  });

  // Guards against jobs of others that wait behind those at their cap.
  test("start the tasks of others beside an organisation at its cap", async () => {
    world.setCap(CAP);
    world.startBroker();
    await advanceTime(1_000);
    world.accept(JOB_ID, { partition: 0, step: lasting(30) });
    world.accept(NEXT_JOB_ID, {
      partition: 0,
      step: createStep({ count: 4 }),
      organisation: "contoso",
    });
    await advanceTime(2_000);
    expect(world.countRunning(0)).toBeGreaterThanOrEqual(15);
  });
});
