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
import type { Store } from "../ports.ts";
import { createCandidacy } from "./candidacy.ts";
import { loadPartition } from "./load_partition.ts";
import { formatMemberName } from "./member_name.ts";
import {
  createOwnerDirectory,
  type OwnerDirectory,
} from "./owner_directory.ts";
import { joinOwners, type Ownership } from "./ownership.ts";

const PARTITIONS = 4;

const SMALL = { cpu: 324, linkMbps: 7 };
const MEDIUM = { cpu: 675, linkMbps: 1_000 };
const LARGE = { cpu: 1_350, linkMbps: 140 };

describe("joinOwners", () => {
  let store: MemoryStore;
  let members: Ownership[];
  /** Directory of each member, by its address. */
  let directories: Map<string, OwnerDirectory>;
  let incarnations: number;
  /** Names of the events that the members logged. */
  let logged: string[];
  /** Whether reads of the list of owners get no answer. */
  let isListLost: boolean;
  /** Duration of the release of a partition. */
  let releaseMs: number;
  /** Addresses of the members that can't reach the store. */
  let cutOff: Set<string>;
  /** Epochs under which members took partitions over, in order. */
  let takeovers: { address: string; partition: number; epoch: number }[];

  beforeEach(() => {
    jest.useFakeTimers();
    store = createMemoryStore({ partitions: PARTITIONS });
    members = [];
    directories = new Map();
    incarnations = 0;
    logged = [];
    isListLost = false;
    releaseMs = 0;
    cutOff = new Set();
    takeovers = [];
  });

  afterEach(async () => {
    const left = Promise.all(members.map((member) => member.leave()));
    await advanceTime(2_000);
    await left;
    jest.useRealTimers();
  });

  /** Store as a member reaches it: its calls fail while it is cut off. */
  const storeOf = (address: string): Store => ({
    ...store,
    join: (options) =>
      cutOff.has(address)
        ? Promise.resolve({ type: "failed", reason: "no answer" })
        : store.join(options),
    append: (partition, options) =>
      cutOff.has(address)
        ? Promise.resolve({ type: "unknown", reason: "no answer" })
        : store.append(partition, options),
  });

  const join = (
    address: string,
    owned: Set<number>,
    capacity = MEDIUM,
  ) => {
    const directory = createOwnerDirectory(store);
    directories.set(address, directory);
    members.push(joinOwners({
      store: storeOf(address),
      createMemberName: () =>
        formatMemberName({ address, capacity }, String(++incarnations)),
      candidacy: createCandidacy({
        capacity,
        usedPartitionCount: () => PARTITIONS,
        readMembers: () =>
          isListLost ? Promise.resolve(undefined) : directory.readMembers(),
      }),
      events: { log: (name) => logged.push(name) },
      isUsed: () => true,
      acquire(partition, epoch) {
        owned.add(partition);
        takeovers.push({ address, partition, epoch });
        void loadPartition(storeOf(address), { partition, epoch });
        return {
          epoch,
          async release() {
            await new Promise((resolve) => setTimeout(resolve, releaseMs));
            owned.delete(partition);
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

  // Guards against a service that a small machine has to carry while large ones
  // are there, as with `kigali-quote` in incident inc1.
  test("leaves the partitions to members that are clearly stronger", async () => {
    const [small, large, otherLarge] = [
      new Set<number>(),
      new Set<number>(),
      new Set<number>(),
    ];
    join("s", small, SMALL);
    await advanceTime(500);
    expect(small.size).toBe(PARTITIONS);
    join("l1", large, LARGE);
    join("l2", otherLarge, LARGE);
    await advanceTime(6_000);
    expect([small.size, large.size, otherLarge.size]).toEqual([0, 2, 2]);
  });

  // Guards against partitions without an owner after a loss of large machines.
  test("takes the partitions back once the stronger members are lost", async () => {
    const small = new Set<number>();
    join("s", small, SMALL);
    join("l1", new Set(), LARGE);
    join("l2", new Set(), LARGE);
    await advanceTime(6_000);
    expect(small.size).toBe(0);
    const left = members.slice(1).map((member) => member.leave());
    await advanceTime(2_000);
    await Promise.all(left);
    expect(small.size).toBe(PARTITIONS);
  });

  // Guards against partitions that move to small members, and stay there, while
  // the large ones restart in turn, as on scale-1 of Bizerte grown.
  test("leaves all partitions to one stronger member during a restart", async () => {
    const [small, large] = [new Set<number>(), new Set<number>()];
    join("l1", large, LARGE);
    join("l2", new Set(), LARGE);
    await advanceTime(500);
    join("s", small, SMALL);
    await advanceTime(3_000);
    void members[1]!.leave();
    let elapsedMs = 0;
    while (elapsedMs < 4_500) {
      elapsedMs += 100;
      await advanceTime(100);
      expect(small.size).toBe(0);
    }
    expect(large.size).toBe(PARTITIONS);
    const restarted = new Set<number>();
    join("l2", restarted, LARGE);
    await advanceTime(6_000);
    expect([small.size, large.size, restarted.size]).toEqual([0, 2, 2]);
  });

  // Guards against a small member that takes partitions from the only large one
  // as it starts.
  test("keeps aside when it starts while a stronger member restarts", async () => {
    const [small, large] = [new Set<number>(), new Set<number>()];
    join("l1", large, LARGE);
    await advanceTime(1_000);
    join("s", small, SMALL);
    await advanceTime(1_000);
    join("l2", new Set(), LARGE);
    await advanceTime(6_000);
    expect([small.size, large.size]).toEqual([0, PARTITIONS / 2]);
    expect(logged.filter((name) => name === "partitionDealt")).toHaveLength(
      PARTITIONS + PARTITIONS / 2,
    );
  });

  // Guards against one owner for good, whose loss stops everything.
  test("joins the last stronger member if no other comes back", async () => {
    const [small, large] = [new Set<number>(), new Set<number>()];
    join("l1", large, LARGE);
    join("l2", new Set(), LARGE);
    await advanceTime(500);
    join("s", small, SMALL);
    await advanceTime(3_000);
    void members[1]!.leave();
    await advanceTime(9_000);
    expect([small.size, large.size]).toEqual([2, 2]);
  });

  // Guards against a restart in which small members take partitions for a
  // moment, only to give them up again.
  test("keeps aside when it starts beside stronger members", async () => {
    join("l1", new Set(), LARGE);
    join("l2", new Set(), LARGE);
    await advanceTime(1_000);
    const joins = store.calls["join"]!;
    const small = new Set<number>();
    join("s", small, SMALL);
    await advanceTime(300);
    expect(small.size).toBe(0);
    expect(store.calls["join"]).toBeLessThanOrEqual(joins + 6);
  });

  // Guards against a small owner for good, after one read without an answer.
  test("repeats a check of the members that got no answer", async () => {
    const small = new Set<number>();
    join("s", small, SMALL);
    await advanceTime(2_000);
    isListLost = true;
    join("l1", new Set(), LARGE);
    join("l2", new Set(), LARGE);
    await advanceTime(4_000);
    isListLost = false;
    await advanceTime(6_000);
    expect(small.size).toBe(0);
  });

  // Guards against progress and handovers that are lost when a process stops
  // while it stands aside.
  test("waits for releases that have begun before it leaves", async () => {
    const small = new Set<number>();
    join("s", small, SMALL);
    join("l1", new Set(), LARGE);
    join("l2", new Set(), LARGE);
    await advanceTime(500);
    releaseMs = 800;
    while (!logged.includes("ownersLeft")) await advanceTime(50);
    expect(small.size).toBeGreaterThan(0);
    let sizeAtEnd: number | undefined;
    void members[0]!.leave().then(() => sizeAtEnd = small.size);
    await advanceTime(2_000);
    expect(sizeAtEnd).toBe(0);
  });

  // Guards against a member that answers 503 for as long as it can't reach the
  // store, as it knows no other member that could relay records.
  test("learns of a member that joins later without a look-up", async () => {
    join("a", new Set());
    await advanceTime(5_000);
    join("b", new Set());
    await advanceTime(3_500);
    expect(directories.get("a")!.members().map(({ address }) => address).sort())
      .toEqual(["a", "b"]);
  });

  // Guards against orders of an owner whose machine was suspended, which its
  // monotonic clock does not show, while another one owns the machines (ONE).
  test("does not count as confirmed after its machine was suspended", async () => {
    join("a", new Set());
    await advanceTime(5_000);
    jest.setSystemTime(Date.now() + 6_000);
    expect(performance.now() - members[0]!.confirmedAtMs(0))
      .toBeGreaterThanOrEqual(6_000);
    await advanceTime(500);
    expect(performance.now() - members[0]!.confirmedAtMs(0))
      .toBeLessThanOrEqual(500);
  });

  // Guards against an owner that counts as confirmed since its time of day was
  // set back.
  test("does not count as confirmed if the time of day is set back", async () => {
    join("a", new Set());
    await advanceTime(5_000);
    void members[0]!.leave();
    jest.setSystemTime(Date.now() - 6_000);
    await advanceTime(2_000);
    expect(performance.now() - members[0]!.confirmedAtMs(0))
      .toBeGreaterThanOrEqual(2_000);
  });

  // Guards against an owner that keeps a partition that it can't load.
  test("leaves the partitions to others for a while if it gives way", async () => {
    const first = new Set<number>();
    const second = new Set<number>();
    join("a", first);
    join("b", second);
    await advanceTime(3_000);
    members[0]!.giveWay();
    await advanceTime(1_000);
    expect([first.size, second.size]).toEqual([0, PARTITIONS]);
    await advanceTime(8_000);
    expect([first.size, second.size]).toEqual([PARTITIONS / 2, PARTITIONS / 2]);
  });

  const epochsOf = (address: string) =>
    takeovers.filter((it) => it.address === address).map(({ epoch }) => epoch);

  // Guards against orders with a lower fencing token than those of an owner in
  // between (ONE): a member that was cut off kept its epoch as it came back.
  test("takes partitions over again that another member has owned", async () => {
    const first = new Set<number>();
    const second = new Set<number>();
    join("a", first);
    await advanceTime(1_000);
    const earlier = Math.max(...epochsOf("a"));
    join("b", second);
    await advanceTime(1_000);
    cutOff.add("a");
    await advanceTime(3_000);
    expect(second.size).toBe(PARTITIONS);
    void members[1]!.leave();
    await advanceTime(100);
    takeovers = takeovers.filter(({ address }) => address === "b");
    cutOff.delete("a");
    await advanceTime(1_000);
    expect(first.size).toBe(PARTITIONS);
    const latest = Math.max(...epochsOf("b"));
    expect(latest).toBeGreaterThan(earlier);
    expect(Math.min(...epochsOf("a"))).toBeGreaterThan(latest);
    expect(epochsOf("a")).toHaveLength(PARTITIONS);
  });

  // Guards against an owner that counts as confirmed, and goes on, before it
  // knows that another one had its partition.
  test("is not confirmed until it knows whether others owned them", async () => {
    join("a", new Set());
    await advanceTime(1_000);
    cutOff.add("a");
    join("b", new Set());
    await advanceTime(3_000);
    void members[1]!.leave();
    await advanceTime(100);
    const { append } = store;
    store.append = async (partition, options) => {
      await new Promise((resolve) => setTimeout(resolve, 300));
      return await append(partition, options);
    };
    cutOff.delete("a");
    await advanceTime(350);
    expect(performance.now() - members[0]!.confirmedAtMs(0))
      .toBeGreaterThan(3_000);
    await advanceTime(1_500);
    expect(performance.now() - members[0]!.confirmedAtMs(0))
      .toBeLessThan(1_000);
  });

  // Guards against takeovers after each outage of the store in which all
  // memberships expire: they would delay the work that waits.
  test("keeps partitions that no other member has owned", async () => {
    const first = new Set<number>();
    join("a", first);
    await advanceTime(1_000);
    const before = takeovers.length;
    store.fault = "refusing";
    await advanceTime(3_000);
    store.fault = undefined;
    await advanceTime(1_000);
    expect(first.size).toBe(PARTITIONS);
    expect(takeovers).toHaveLength(before);
  });

  // Guards against a takeover of partitions that nobody else has owned, while a
  // part of the store is down: their leases could not be renewed.
  test("waits until the store tells whether others owned partitions", async () => {
    const first = new Set<number>();
    join("a", first);
    await advanceTime(1_000);
    const before = takeovers.length;
    cutOff.add("a");
    await advanceTime(3_000);
    const { append } = store;
    store.append = () => Promise.resolve({ type: "unknown", reason: "lost" });
    cutOff.delete("a");
    await advanceTime(2_000);
    const confirmedMs = () => performance.now() - members[0]!.confirmedAtMs(0);
    expect(confirmedMs()).toBeGreaterThanOrEqual(5_000);
    store.append = append;
    await advanceTime(500);
    expect(confirmedMs()).toBeLessThanOrEqual(500);
    expect(first.size).toBe(PARTITIONS);
    expect(takeovers).toHaveLength(before);
  });
});
