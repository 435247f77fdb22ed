import {
  afterEach,
  beforeEach,
  describe,
  expect,
  jest,
  test,
} from "@jest/globals";
import { advanceTime, createStep, JOB_ID, NEXT_JOB_ID } from "../_fixtures.ts";
import { STORE } from "./_member_link.ts";
import { createMembersWorld, type MembersWorld } from "./_members_world.ts";

describe("an owner whose fencing is late", () => {
  let world: MembersWorld;
  /** Links on which nothing passes, as `member target`. */
  let cut: Set<string>;
  /** Whether a is cut off from the store once it is told to take over. */
  let isCutAtTakeover: boolean;

  beforeEach(() => {
    jest.useFakeTimers();
    cut = new Set();
    isCutAtTakeover = false;
    world = createMembersWorld({
      isCut(address, target) {
        const hasTakenOver = isCutAtTakeover &&
          world.hasLogged("a partitionDealt");
        if (hasTakenOver && address === "a" && target === STORE) return true;
        return cut.has(`${address} ${target}`);
      },
    });
  });

  afterEach(() => {
    world.close();
    jest.useRealTimers();
  });

  // Guards against an owner that goes on as nobody has fenced it yet, though
  // another one was assigned the partition meanwhile and fences it afterwards.
  test("adopts no runs that its successor holds for lapsed", async () => {
    const lasting = createStep({ isLasting: true });
    const e0 = world.addExecutor("e0");
    const b = world.startMember("b");
    await advanceTime(500);
    world.accept(JOB_ID, [lasting]);
    await advanceTime(500);
    world.addExecutor("e1", { cpu: 32_000 });
    await advanceTime(200);
    world.accept(NEXT_JOB_ID, [
      { ...lasting, count: 1, size: { ...lasting.size, cpu: 16_000 } },
    ]);
    world.startMember("a");
    await advanceTime(4_000);
    expect(world.hasLogged("a partitionDealt")).toBe(false);
    const [ended, task] = world.runningOn("e0");

    // The lease on e0 is renewed as a run there ends, just before the pause.
    e0.end(ended!, "done");
    await advanceTime(10);
    cut = new Set(["b e0", "a e1"]);
    isCutAtTakeover = true;
    b.process.pause();
    while (!world.hasLogged("a partitionDealt")) await advanceTime(10);
    // The membership of a has expired, and its second attempt to fence is due
    // soon.
    await advanceTime(1_620);
    b.process.resume();
    await advanceTime(150);
    isCutAtTakeover = false;
    expect(world.hasLogged("a loadDelayed")).toBe(true);

    // The lease that b knows of expires before one that a has renewed.
    await advanceTime(15_000);
    expect(world.observer.violations).toEqual([]);
    expect([...world.runningOn("e0"), ...world.runningOn("e1")]).toContain(
      task,
    );
  });
});
