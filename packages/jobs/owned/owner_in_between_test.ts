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
  PARTITION,
} from "../_fixtures.ts";
import { cancelKey, JOBS_TOPIC } from "../topics.ts";
import { createMembersWorld, type MembersWorld } from "./_members_world.ts";
import { STORE } from "./_member_link.ts";

describe("an owner in between", () => {
  let world: MembersWorld;
  /** Links without any effect, as `member target`. */
  let cut: Set<string>;

  beforeEach(() => {
    jest.useFakeTimers();
    cut = new Set();
    world = createMembersWorld({
      isCut: (address, target) => cut.has(`${address} ${target}`),
    });
  });

  afterEach(() => {
    world.close();
    jest.useRealTimers();
  });

  // Guards against an owner that comes back and takes an executor that it can't
  // reach for empty, as it has not renewed the lease there itself.
  test("renews leases that its predecessor must not hold for expired", async () => {
    const lasting = createStep({ isLasting: true });
    world.addExecutor("e0");
    world.startMember("b");
    await advanceTime(500);
    world.accept(JOB_ID, [lasting]);
    await advanceTime(500);
    world.addExecutor("e1", { cpu: 32_000 });
    await advanceTime(200);
    world.accept(NEXT_JOB_ID, [
      { ...lasting, count: 1, size: { ...lasting.size, cpu: 16_000 } },
    ]);
    await advanceTime(4_000);
    expect(world.runningOn("e0")).toHaveLength(2);
    expect(world.runningOn("e1")).toHaveLength(1);

    cut = new Set([`b ${STORE}`, "b e0", "a e1"]);
    const a = world.startMember("a");
    await advanceTime(11_000);
    const [task] = world.runningOn("e0");
    world.executors.get("e0")!.end(task!, "done");
    await advanceTime(1_500);
    expect(world.logged.join("\n")).toMatch(/ a runAdopted .* a taskPlaced /s);
    expect(world.runningOn("e0")).toHaveLength(2);

    // The executor's lease is that of the owner in between.
    cut.delete(`b ${STORE}`);
    void a.leave();
    await advanceTime(1_000);
    expect(world.runningOn("e0")).toHaveLength(2);
    expect(world.observer.violations).toEqual([]);
    await advanceTime(14_000);
    expect(world.observer.violations).toEqual([]);
    expect([...world.runningOn("e0"), ...world.runningOn("e1")]).toHaveLength(
      3,
    );
  });

  // Guards against an owner that stops waiting for an executor that it can't
  // reach, though its ownership is not confirmed up to the end of that wait.
  test("renews leases for whose end its predecessor waits", async () => {
    const lasting = createStep({ isLasting: true });
    const e0 = world.addExecutor("e0");
    world.startMember("a");
    await advanceTime(500);
    world.accept(JOB_ID, [lasting]);
    await advanceTime(500);
    world.addExecutor("e1", { cpu: 32_000 });
    await advanceTime(200);
    world.accept(NEXT_JOB_ID, [
      { ...lasting, count: 1, size: { ...lasting.size, cpu: 16_000 } },
    ]);
    await advanceTime(4_000);
    const [ended, task] = world.runningOn("e0");
    expect(world.runningOn("e1")).toHaveLength(1);

    // The lease on e0 is renewed just before the handover, as a run ends.
    cut = new Set(["b e0", "a e1"]);
    world.startMember("b");
    await advanceTime(300);
    e0.end(ended!, "done");
    await advanceTime(1_800);
    expect(world.logged.join("\n")).toMatch(/ b partitionLoaded /);
    await readJobs();
    cut.add(`b ${STORE}`);
    await advanceTime(2_000);
    expect(world.logged.join("\n")).toMatch(/ a runAdopted /);
    expect(world.runningOn("e0")).toContain(task);

    await advanceTime(1_000);
    expect(world.runningOn("e0")).toContain(task);
    expect(world.observer.violations).toEqual([]);
    await advanceTime(15_000);
    expect(world.observer.violations).toEqual([]);
  });

  /** Has the owner read new records, so that it has read all until now. */
  const readJobs = async () => {
    for (const id of ["00000000000000c3", "00000000000000d4"]) {
      world.store.put({ topic: JOBS_TOPIC, partition: PARTITION }, {
        key: cancelKey(id),
        value: "{}",
      });
      await advanceTime(20);
    }
  };
});
