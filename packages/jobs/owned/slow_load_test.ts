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
import {
  createMembersWorld,
  type MembersWorld,
  SOUND_CALL,
} from "./_members_world.ts";

/** Time that answers of the store take on a slow link. */
const SLOW_ANSWER_MS = 600;

describe("an owner that loads its partition slowly", () => {
  let world: MembersWorld;
  /** Links on which nothing passes, as `member target`. */
  let cut: Set<string>;
  /** Whether the store's answers to a are slow, and those to joins are lost. */
  let isSlow: boolean;

  beforeEach(() => {
    jest.useFakeTimers();
    cut = new Set();
    isSlow = false;
    world = createMembersWorld({
      isCut: (address, target) => cut.has(`${address} ${target}`),
      drawFault(address, target, method) {
        if (!isSlow || address !== "a" || target !== STORE) return SOUND_CALL;
        const isAnswerLost = method === "join" &&
          world.hasLogged("a partitionDealt");
        return { ...SOUND_CALL, afterMs: SLOW_ANSWER_MS, isAnswerLost };
      },
    });
  });

  afterEach(() => {
    world.close();
    jest.useRealTimers();
  });

  // Guards against an owner that reads the state after its successor has taken
  // the handover away, and renews leases for whose end that one waits.
  test("does not act once its successor has fenced it", async () => {
    const lasting = createStep({ isLasting: true, count: 1 });
    world.addExecutor("e0");
    world.startMember("b");
    await advanceTime(500);
    world.accept(JOB_ID, [lasting]);
    await advanceTime(500);
    world.addExecutor("e1", { cpu: 32_000 });
    await advanceTime(200);
    world.accept(NEXT_JOB_ID, [
      { ...lasting, size: { ...lasting.size, cpu: 16_000 } },
    ]);
    world.startMember("a");
    await advanceTime(4_000);
    const [task] = world.runningOn("e0");
    expect(world.hasLogged("a partitionDealt")).toBe(false);

    // b hands over to a, and gets the partition back while a reads the state.
    cut = new Set(["b e0", "a e1"]);
    isSlow = true;
    world.group.reassign();
    while (!world.hasLogged("a partitionDealt")) await advanceTime(10);
    await advanceTime(50);
    world.group.reassign();
    await advanceTime(1_300);
    isSlow = false;
    expect(world.hasLogged("b partitionReleased")).toBe(true);
    await advanceTime(15_000);
    expect(world.observer.violations).toEqual([]);
    expect([...world.runningOn("e0"), ...world.runningOn("e1")]).toContain(
      task,
    );
  });
});
