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
import { joinOwners, type Ownership } from "./ownership.ts";

const PARTITIONS = 4;

describe("joinOwners", () => {
  let store: MemoryStore;
  let members: Ownership[];

  beforeEach(() => {
    jest.useFakeTimers();
    store = createMemoryStore({ partitions: PARTITIONS });
    members = [];
  });

  afterEach(async () => {
    await Promise.all(members.map((member) => member.leave()));
    jest.useRealTimers();
  });

  const join = (member: string, owned: Set<number>) => {
    members.push(joinOwners({
      store,
      member,
      events: { log: () => undefined },
      isUsed: () => true,
      acquire(partition, epoch) {
        owned.add(partition);
        return {
          epoch,
          release() {
            owned.delete(partition);
            return Promise.resolve();
          },
        };
      },
    }));
  };

  const countJoins = async (ms: number) => {
    const before = store.calls["join"] ?? 0;
    await advanceTime(ms);
    return store.calls["join"]! - before;
  };

  // Guards against partitions without an owner for 0.7 s at each reassignment,
  // as on trouble-2 of Lakeshore, and against frequent joins at other times.
  test("joins more often while partitions are reassigned", async () => {
    const first = new Set<number>();
    const second = new Set<number>();
    join("a", first);
    await advanceTime(5_000);
    expect(first.size).toBe(PARTITIONS);
    expect(await countJoins(2_000)).toBeLessThanOrEqual(6);
    join("b", second);
    await advanceTime(400);
    expect(await countJoins(1_000)).toBeGreaterThanOrEqual(16);
    expect(first.size).toBe(PARTITIONS / 2);
    expect(second.size).toBe(PARTITIONS / 2);
    await advanceTime(1_500);
    expect(await countJoins(2_000)).toBeLessThanOrEqual(12);
  });
});
