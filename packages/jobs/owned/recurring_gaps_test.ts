import {
  afterEach,
  beforeEach,
  describe,
  expect,
  jest,
  test,
} from "@jest/globals";
import { createMemoryStore, type MemoryStore } from "@lagoonloom/standins";
import { advanceTime, createGroup } from "../_fixtures.ts";
import { isPlaceable } from "../job.ts";
import { createCandidacy } from "./candidacy.ts";
import { formatMemberName } from "./member_name.ts";
import { joinOwners, type Ownership } from "./ownership.ts";

const PARTITIONS = 4;

const CAPACITY = { cpu: 675, linkMbps: 1_000 };

/** Time between two restarts of the other members. */
const INTERVAL_MS = 2_000;

describe("a member whose membership has one gap after the other", () => {
  let store: MemoryStore;
  let member: Ownership;
  let others: Ownership[];
  let incarnations: number;

  beforeEach(async () => {
    jest.useFakeTimers();
    store = createMemoryStore({ partitions: PARTITIONS });
    others = [];
    incarnations = 0;
    member = join("a");
    await advanceTime(5_000);
  });

  afterEach(async () => {
    for (const { leave } of [member, ...others]) void leave();
    await advanceTime(2_000);
    jest.useRealTimers();
  });

  function join(address: string): Ownership {
    return joinOwners({
      store,
      createMemberName: () =>
        formatMemberName({ address, capacity: CAPACITY }, `${++incarnations}`),
      candidacy: createCandidacy({
        capacity: CAPACITY,
        usedPartitionCount: () => PARTITIONS,
        readMembers: () => Promise.resolve(undefined),
      }),
      events: { log: () => undefined },
      isUsed: () => true,
      acquire: (_, epoch) => ({ epoch, release: () => Promise.resolve() }),
    });
  }

  /** Restarts the other members, both at once. */
  async function restartOthers() {
    for (const other of others) void other.leave();
    await advanceTime(20);
    others = [join("b"), join("c")];
  }

  // Guards against leases that never count as expired while other members
  // restart in turn, as each gap prolonged the dispute (LOST).
  test("settles its disputes", async () => {
    for (let restart = 0; restart < 10; restart++) {
      await restartOthers();
      await advanceTime(INTERVAL_MS);
    }
    const disputedMs = performance.now() - member.undisputedAtMs(0);
    expect(disputedMs).toBeLessThan(3 * INTERVAL_MS);
  });

  // Guards against an owner that starts and renews nothing until the store
  // answers, as a gap took back what was confirmed since the one before.
  test("stays confirmed up to the last gap", async () => {
    for (let restart = 0; restart < 3; restart++) {
      await restartOthers();
      await advanceTime(INTERVAL_MS);
    }
    const { append } = store;
    store.append = async (partition, options) => {
      await new Promise((resolve) => setTimeout(resolve, 300));
      return await append(partition, options);
    };
    await restartOthers();
    let longestMs = 0;
    for (let elapsedMs = 0; elapsedMs < 1_000; elapsedMs += 50) {
      await advanceTime(50);
      const ageMs = performance.now() - member.confirmedAtMs(0);
      longestMs = Math.max(longestMs, ageMs);
    }
    expect(longestMs).toBeLessThan(1_500);
  });

  // Guards against tasks without an earlier run that wait for one: after a step
  // of the time of day, the undisputed time is before the start of all clocks.
  test("places tasks that wait for no lease", async () => {
    jest.setSystemTime(Date.now() + 60_000);
    await restartOthers();
    await advanceTime(1_000);
    const [task] = createGroup().tasks;
    const times = {
      monotonicMs: performance.now(),
      undisputedMs: member.undisputedAtMs(0),
    };
    expect(isPlaceable(task!, times)).toBe(true);
  });
});
