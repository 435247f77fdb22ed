import {
  afterEach,
  beforeEach,
  describe,
  expect,
  jest,
  test,
} from "@jest/globals";
import { advanceTime, createStep, JOB_ID, NEXT_JOB_ID } from "../_fixtures.ts";
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

  const runningOn = (executor: string) =>
    [...world.executors.get(executor)!.running.keys()].sort();

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
    expect(runningOn("e0")).toHaveLength(2);
    expect(runningOn("e1")).toHaveLength(1);

    cut = new Set([`b ${STORE}`, "b e0", "a e1"]);
    const a = world.startMember("a");
    await advanceTime(11_000);
    const [task] = runningOn("e0");
    world.executors.get("e0")!.end(task!, "done");
    await advanceTime(1_500);
    expect(world.logged.join("\n")).toMatch(/ a runAdopted .* a taskPlaced /s);
    expect(runningOn("e0")).toHaveLength(2);

    // The executor's lease is that of the owner in between.
    cut.delete(`b ${STORE}`);
    void a.leave();
    await advanceTime(1_000);
    expect(runningOn("e0")).toHaveLength(2);
    expect(world.observer.violations).toEqual([]);
    await advanceTime(14_000);
    expect(world.observer.violations).toEqual([]);
    expect([...runningOn("e0"), ...runningOn("e1")]).toHaveLength(3);
  });
});
