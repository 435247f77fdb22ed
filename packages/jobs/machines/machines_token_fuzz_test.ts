import {
  afterEach,
  beforeEach,
  describe,
  expect,
  jest,
  test,
} from "@jest/globals";
import { createMemoryStore, type MemoryStore } from "@lagoonloom/standins";
import fc from "fast-check";
import { advanceTime, createConfiguration } from "../_fixtures.ts";
import type { Machine, UpkeepWave } from "../fleet.ts";
import { createCandidacy } from "../owned/candidacy.ts";
import { formatMemberName } from "../owned/member_name.ts";
import { joinOwners, type Ownership } from "../owned/ownership.ts";
import type { Store } from "../ports.ts";
import { createMachinesOwner } from "./machines_owner.ts";

const SEED = 47;
const RUNS = 60;

/** Duration of one run, and the pause between two checks for faults. */
const RUN_MS = 40_000;
const STEP_MS = 100;

/** Time in which a member's call without an answer ends. */
const SILENCE_MS = 500;

const MEMBERS = 3;
const PARTITION = 0;
const CAPACITY = { cpu: 675, linkMbps: 1_000 };
const MACHINES: readonly Machine[] = ["m1", "m2", "m3", "m4"].map((id) => ({
  id,
  pool: "quoting",
  state: "up",
  executor: `e-${id}`,
}));

/** Time between two waves of upkeep, which keep the owner sending orders. */
const WAVE_INTERVAL_MS = 1_000;

/** What happens to one member, or to the store for all. */
const Fault = fc.record({
  atMs: fc.integer({ min: 2_000, max: RUN_MS - 5_000 }),
  durationMs: fc.integer({ min: 200, max: 6_000 }),
  member: fc.integer({ min: 0, max: MEMBERS - 1 }),
  kind: fc.constantFrom(
    /** Calls don't reach the store. */
    "cut",
    /** Calls are carried out without an answer. */
    "answersLost",
    /** Appends of all members are refused, but not their joins. */
    "appendsRefused",
    /** The member leaves as planned and comes back after the duration. */
    "restart",
    /** The store assigns the partitions to other members. */
    "reassign",
  ),
});
type Fault = { atMs: number; durationMs: number; member: number; kind: string };

const SCRIPTS = fc.sample(fc.array(Fault, { minLength: 4, maxLength: 16 }), {
  seed: SEED,
  numRuns: RUNS,
});

type Order = { machine: string; holder: string; token: number };

describe("the owners of the machines", () => {
  let store: MemoryStore;
  let running: Fault[];
  let members: (Ownership | undefined)[];
  let orders: Order[];
  let names: number;
  let startedAtMs: number;

  beforeEach(() => {
    jest.useFakeTimers();
    store = createMemoryStore({ partitions: 1 });
    running = [];
    members = [];
    orders = [];
    names = 0;
    startedAtMs = performance.now();
  });

  afterEach(async () => {
    running = [];
    const left = Promise.all(members.map((member) => member?.leave()));
    await advanceTime(3_000);
    await left;
    jest.useRealTimers();
  });

  const isHit = (kind: string, member?: number) =>
    running.some((fault) =>
      fault.kind === kind && (member === undefined || fault.member === member)
    );

  const sleep = (ms: number) =>
    new Promise((resolve) => setTimeout(resolve, ms));

  /** Passes a member's call to the store, unless a fault prevents it. */
  const pass = async <Outcome>(
    index: number,
    call: () => Promise<Outcome>,
    lost: Outcome,
  ): Promise<Outcome> => {
    const isCut = isHit("cut", index);
    const isAnswerLost = isHit("answersLost", index);
    if (!isCut && !isAnswerLost) return await call();
    if (!isCut) await call();
    await sleep(SILENCE_MS);
    return lost;
  };

  const storeOf = (index: number): Store => {
    const failed = { type: "failed" as const, reason: "no answer" };
    return {
      append: (partition, options) =>
        isHit("appendsRefused")
          ? Promise.resolve({ type: "refused", reason: "", retryAfterMs: 500 })
          : pass(index, () => store.append(partition, options), {
            type: "unknown",
            reason: "no answer",
          }),
      read: (partition, options) =>
        pass(index, () => store.read(partition, options), failed),
      readNewest: (partition) =>
        pass(index, () => store.readNewest(partition), failed),
      join: (options) => pass(index, () => store.join(options), failed),
      leave: (options) => pass(index, () => store.leave(options), undefined),
      owners: (group) => pass(index, () => store.owners(group), undefined),
    };
  };

  const waves = (): UpkeepWave[] => [{
    wave: 1 + Math.floor((performance.now() - startedAtMs) / WAVE_INTERVAL_MS),
    machines: MACHINES.map(({ id }) => id),
    finishByS: 10,
    maxDown: MACHINES.length,
  }];

  const start = (index: number): Ownership => {
    const holder = `edge-${index}`;
    const memberStore = storeOf(index);
    const ownership: Ownership = joinOwners({
      store: memberStore,
      createMemberName: () =>
        formatMemberName(
          { address: holder, capacity: CAPACITY },
          String(++names),
        ),
      candidacy: createCandidacy({
        capacity: CAPACITY,
        usedPartitionCount: () => 1,
        readMembers: () => Promise.resolve([]),
      }),
      events: { log: () => undefined },
      isUsed: () => true,
      acquire: (partition, epoch) =>
        createMachinesOwner({
          partition,
          epoch,
          holder,
          store: memberStore,
          machines: {
            list: () => Promise.resolve([...MACHINES]),
            move: () => Promise.resolve({ type: "refused", reason: "busy" }),
            upkeep({ machine }, { token }) {
              orders.push({ machine, holder, token });
              return Promise.resolve({ type: "done" });
            },
            announce: () => Promise.resolve(true),
          },
          events: { log: () => undefined },
          configuration: createConfiguration,
          waves,
          typicalMachineCpu: () => 16_000,
          confirmedAtMs: () => ownership.confirmedAtMs(PARTITION),
          collectReports: () =>
            Promise.resolve([{
              demand: [],
              busy: [],
              idle: MACHINES.map(({ id }) => `e-${id}`),
            }]),
          onLost: () => ownership.drop(partition),
        }),
    });
    return ownership;
  };

  const begin = (fault: Fault) => {
    running.push(fault);
    if (fault.kind === "reassign") store.reassignPartitions();
    if (fault.kind !== "restart") return;
    void members[fault.member]?.leave();
    members[fault.member] = undefined;
  };

  const end = (fault: Fault) => {
    running.splice(running.indexOf(fault), 1);
    if (fault.kind === "restart") {
      members[fault.member] ??= start(fault.member);
    }
  };

  const play = async (script: readonly Fault[]) => {
    for (let index = 0; index < MEMBERS; index++) members.push(start(index));
    for (let ms = 0; ms < RUN_MS; ms += STEP_MS) {
      for (const fault of script) {
        if (Math.floor(fault.atMs / STEP_MS) * STEP_MS === ms) begin(fault);
      }
      for (const fault of [...running]) {
        if (ms >= fault.atMs + fault.durationMs) end(fault);
      }
      await advanceTime(STEP_MS);
    }
  };

  /** Returns the first order with a lower token than one before it. */
  const findLowerToken = (): string | undefined => {
    const highest = new Map<string, Order>();
    for (const order of orders) {
      const before = highest.get(order.machine);
      if (before !== undefined && order.token < before.token) {
        return `${JSON.stringify(order)} after ${JSON.stringify(before)}`;
      }
      highest.set(order.machine, order);
    }
    return undefined;
  };

  // Guards against orders with a lower fencing token than those before (ONE),
  // under any sequence of gaps in memberships.
  test.each(SCRIPTS.map((script, index) => ({ script, index })))(
    "never lower their fencing token (script $index)",
    async ({ script }) => {
      await play(script);
      expect(orders.length).toBeGreaterThan(0);
      expect(findLowerToken()).toBeUndefined();
    },
  );
});
