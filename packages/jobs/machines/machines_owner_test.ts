import {
  afterEach,
  beforeEach,
  describe,
  expect,
  jest,
  test,
} from "@jest/globals";
import { createMemoryStore, type MemoryStore } from "@lagoonloom/standins";
import { advanceTime, createConfiguration, PARTITION } from "../_fixtures.ts";
import type { Machine } from "../fleet.ts";
import type { MachineClient } from "../ports.ts";
import { createMachinesOwner, type MachinesOwner } from "./machines_owner.ts";
import type { PoolReport } from "./pool_report.ts";

/** Machines in memory that a test maintains and looks at. */
type MachinesFixture = {
  store: MemoryStore;
  machines: Map<string, Machine>;
  /** Orders for machines, as `kind machine token`. */
  orders: string[];
  /** Whether an upkeep is only confirmed, since it was done before. */
  isUpkeepOver: boolean;
  /** Executors that owners were told of as ended. */
  ended: Set<string>;
  collected: number;
  confirmedAtMs: "now" | number;
  own(epoch: number): MachinesOwner;
};

function createMachinesFixture(): MachinesFixture {
  const idle = (): PoolReport => ({
    demand: [],
    busy: [],
    idle: [...fixture.machines.values()].flatMap(({ executor }) =>
      executor === undefined ? [] : [executor]
    ),
  });
  const platform: MachineClient = {
    list: () => Promise.resolve([...fixture.machines.values()]),
    move(order, { fencingToken: token }) {
      fixture.orders.push(`move ${order.machine} ${token}`);
      return Promise.resolve({ type: "done" });
    },
    upkeep({ machine }, { fencingToken: token }) {
      fixture.orders.push(`upkeep ${machine} ${token}`);
      if (fixture.isUpkeepOver) return Promise.resolve({ type: "done" });
      const entry = fixture.machines.get(machine)!;
      fixture.machines.set(machine, {
        ...entry,
        state: "upkeep",
        executor: undefined,
      });
      setTimeout(() => {
        const executor = `${entry.executor}-next`;
        fixture.machines.set(machine, { ...entry, executor });
      }, 2_000);
      return Promise.resolve({ type: "done" });
    },
    announce: () => Promise.resolve(true),
  };
  const fixture: MachinesFixture = {
    store: createMemoryStore({ partitions: 8 }),
    machines: new Map([
      ["m1", { id: "m1", pool: "quoting", state: "up", executor: "e1" }],
      ["m2", { id: "m2", pool: "quoting", state: "up", executor: "e2" }],
      ["m3", { id: "m3", pool: "quoting", state: "up", executor: "e3" }],
    ]),
    orders: [],
    isUpkeepOver: false,
    ended: new Set(),
    collected: 0,
    confirmedAtMs: "now",
    own: (epoch) =>
      createMachinesOwner({
        partition: PARTITION,
        epoch,
        holder: "edge-1",
        store: fixture.store,
        machines: platform,
        events: { log: () => undefined },
        configuration: createConfiguration,
        waves: () => [
          { wave: 1, machines: ["m1"], finishByS: 26, maxDown: 1 },
        ],
        machineCpu: () => 16_000,
        confirmedAtMs: () =>
          fixture.confirmedAtMs === "now"
            ? performance.now()
            : fixture.confirmedAtMs,
        collect(_reserved, ended) {
          fixture.collected++;
          for (const id of ended) fixture.ended.add(id);
          return Promise.resolve([idle()]);
        },
        onLost: () => undefined,
      }),
  };
  return fixture;
}

describe("createMachinesOwner", () => {
  let fixture: MachinesFixture;
  let owners: MachinesOwner[];

  beforeEach(() => {
    jest.useFakeTimers();
    fixture = createMachinesFixture();
    owners = [];
  });

  afterEach(async () => {
    for (const owner of owners) await stop(owner);
    jest.useRealTimers();
  });

  const own = (epoch: number) => {
    const owner = fixture.own(epoch);
    owners.push(owner);
    return owner;
  };

  const stop = async (owner: MachinesOwner) => {
    await Promise.all([owner.release(), advanceTime(1_000)]);
  };

  // Guards against tasks that run on and are started again, since an upkeep
  // that an earlier holder had carried out was taken for the end of the next
  // executor (TWICE on trouble-1 of Nyabarongo and on hunt-06b4-31).
  test("ends no executor by an order that was carried out before", async () => {
    fixture.isUpkeepOver = true;
    own(1);
    await advanceTime(8_000);
    expect(fixture.orders).toContain("upkeep m1 1");
    expect([...fixture.ended]).toEqual([]);
  });

  // Guards against owners that wait for the lease of an executor that their
  // own order has ended.
  test("tells owners of an executor that its order has ended", async () => {
    own(1);
    await advanceTime(8_000);
    expect(fixture.orders.filter((it) => it === "upkeep m1 1")).toHaveLength(1);
    expect([...fixture.ended]).toEqual(["e1"]);
  });

  // Guards against two holders that order and reserve at the same time while
  // the store turns one of them away (trouble-1 of Nyabarongo).
  test("orders and reserves nothing that is not confirmed", async () => {
    fixture.confirmedAtMs = performance.now() - 2_000;
    own(1);
    await advanceTime(8_000);
    expect(fixture.orders).toEqual([]);
    expect(fixture.collected).toBe(0);
  });

  // Guards against orders beside those of an earlier holder that is cut off.
  test("waits for the orders of a holder that was lost", async () => {
    own(2);
    await advanceTime(1_500);
    expect(fixture.orders).toEqual([]);
    await advanceTime(2_000);
    expect(fixture.orders).toEqual(["upkeep m1 2"]);
  });

  // Guards against waves that end late since each planned stop costs two
  // seconds (trouble-2 of Lakeshore stops all members in turn).
  test("goes on at once after a planned handover", async () => {
    const first = own(1);
    await advanceTime(500);
    await stop(first);
    own(2);
    await advanceTime(1_000);
    expect(fixture.orders).toEqual(["upkeep m1 2"]);
  });
});
