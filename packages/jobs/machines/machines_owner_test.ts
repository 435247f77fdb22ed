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
import type { Machine, UpkeepWave } from "../fleet.ts";
import type { MachineClient } from "../ports.ts";
import { createMachinesOwner, type MachinesOwner } from "./machines_owner.ts";
import type { PartitionReport, ServiceDemand } from "./partition_report.ts";

const WAVE: UpkeepWave = {
  wave: 1,
  machines: ["m1"],
  finishByS: 26,
  maxDown: 1,
};

/** Simulated machines and the orders that they received. */
type MachinesFixture = {
  store: MemoryStore;
  machines: Map<string, Machine>;
  /** Orders received, as `KIND MACHINE TOKEN`. */
  orders: string[];
  /** Whether upkeep orders are confirmed as already done, without effect. */
  isUpkeepDone: boolean;
  /** Whether orders get no answer and have no effect. */
  isUnanswered: boolean;
  /** Executors that run tasks. */
  busy: Set<string>;
  /** Demand that owners of partitions report. */
  demand: ServiceDemand[];
  /** Executors that were reported to partition owners as ended. */
  ended: Set<string>;
  /** Number of times that reports were collected. */
  collectionCount: number;
  confirmedAtMs: "now" | number;
  waves: UpkeepWave[];
  own(epoch: number): MachinesOwner;
};

function createMachinesFixture(): MachinesFixture {
  const idle = (): PartitionReport => ({
    demand: fixture.demand,
    busy: [],
    idle: [...fixture.machines.values()].flatMap(({ executor }) =>
      executor === undefined || fixture.busy.has(executor) ? [] : [executor]
    ),
  });
  const platform: MachineClient = {
    list: () => Promise.resolve([...fixture.machines.values()]),
    move(order, { token }) {
      fixture.orders.push(`move ${order.machine} ${token}`);
      return Promise.resolve({ type: "done" });
    },
    upkeep({ machine }, { token }) {
      fixture.orders.push(`upkeep ${machine} ${token}`);
      if (fixture.isUnanswered) {
        return Promise.resolve({ type: "unknown", reason: "no answer" });
      }
      if (fixture.isUpkeepDone) return Promise.resolve({ type: "done" });
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
    isUpkeepDone: false,
    isUnanswered: false,
    busy: new Set(),
    demand: [],
    ended: new Set(),
    collectionCount: 0,
    confirmedAtMs: "now",
    waves: [WAVE],
    own: (epoch) =>
      createMachinesOwner({
        partition: PARTITION,
        epoch,
        holder: "edge-1",
        store: fixture.store,
        machines: platform,
        events: { log: () => undefined },
        configuration: createConfiguration,
        waves: () => fixture.waves,
        typicalMachineCpu: () => 16_000,
        confirmedAtMs: () =>
          fixture.confirmedAtMs === "now"
            ? performance.now()
            : fixture.confirmedAtMs,
        collectReports(_reserved, ended) {
          fixture.collectionCount++;
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

  const upkeeps = () =>
    fixture.orders.filter((order) => order.startsWith("upkeep"));

  const stop = async (owner: MachinesOwner) => {
    await Promise.all([owner.release(), advanceTime(1_000)]);
  };

  // Guards against starting a task again while it still runs: the confirmation
  // of an upkeep that was already done for an earlier owner was taken for the
  // end of the executor that runs there now.
  test("reports no executor as ended for an upkeep that was already done", async () => {
    fixture.isUpkeepDone = true;
    own(1);
    await advanceTime(8_000);
    expect(fixture.orders).toContain("upkeep m1 1");
    expect([...fixture.ended]).toEqual([]);
  });

  // Guards against partition owners that wait for the lease of an executor that
  // the upkeep has already ended.
  test("reports an executor as ended after its upkeep has started", async () => {
    own(1);
    await advanceTime(8_000);
    expect(fixture.orders.filter((it) => it === "upkeep m1 1")).toHaveLength(1);
    expect([...fixture.ended]).toEqual(["e1"]);
  });

  // Guards against two owners that send orders and reserve executors at the
  // same time while the store rejects one of them.
  test("sends no orders and reserves nothing without confirmed ownership", async () => {
    fixture.confirmedAtMs = performance.now() - 2_000;
    own(1);
    await advanceTime(8_000);
    expect(fixture.orders).toEqual([]);
    expect(fixture.collectionCount).toBe(0);
  });

  // Guards against ending tasks (AVAIL) that have started on an executor since
  // its upkeep was ordered: the reservation expires while the store is down.
  test("orders an upkeep again only once nothing runs there", async () => {
    fixture.isUnanswered = true;
    own(1);
    await advanceTime(3_000);
    expect(upkeeps().length).toBeGreaterThan(0);
    fixture.confirmedAtMs = performance.now() - 2_000;
    fixture.busy.add("e1");
    await advanceTime(5_000);
    fixture.orders = [];
    fixture.isUnanswered = false;
    fixture.confirmedAtMs = "now";
    await advanceTime(2_000);
    expect(upkeeps()).toEqual([]);
    fixture.busy.delete("e1");
    await advanceTime(1_000);
    expect(upkeeps()).toEqual(["upkeep m1 1"]);
  });

  // Guards against an order that is never sent again, and so never settled,
  // although it was carried out.
  test("asks again for an upkeep that has begun", async () => {
    fixture.isUnanswered = true;
    own(1);
    await advanceTime(2_100);
    fixture.machines.set("m1", {
      id: "m1",
      pool: "quoting",
      state: "upkeep",
      executor: undefined,
    });
    await advanceTime(1_000);
    fixture.orders = [];
    await advanceTime(1_000);
    expect(upkeeps().length).toBeGreaterThan(0);
  });

  // Guards against sending orders while a partitioned earlier owner may still
  // send some.
  test("waits until an unresponsive earlier owner can send no orders", async () => {
    own(2);
    await advanceTime(1_500);
    expect(fixture.orders).toEqual([]);
    await advanceTime(2_000);
    expect(fixture.orders).toEqual(["upkeep m1 2"]);
  });

  /** Lets an owner without orders to send hand over, then requests a wave. */
  async function handOver() {
    fixture.waves = [];
    const first = own(1);
    await advanceTime(4_000);
    await stop(first);
    fixture.waves = [WAVE];
    fixture.orders = [];
  }

  // Guards against waves that miss their deadline because each planned restart
  // of a member, as in a rolling restart, delays orders by two seconds.
  test("sends orders at once after a planned handover", async () => {
    await handOver();
    own(2);
    await advanceTime(1_000);
    expect(fixture.orders).toEqual(["upkeep m1 2"]);
  });

  // Guards against orders of a partitioned owner beside those of a later one
  // (ONE): the owner between them left while it still waited, and handed over.
  test("goes on with the wait of an owner that hands over during it", async () => {
    const first = own(2);
    await advanceTime(500);
    await stop(first);
    own(3);
    await advanceTime(1_000);
    expect(fixture.orders).toEqual([]);
    await advanceTime(1_500);
    expect(fixture.orders).toEqual(["upkeep m1 3"]);
  });

  // Guards against orders beside those of an earlier owner (ONE), which sent
  // them before its deletion of the handover was stored.
  test("sends no orders before the handover is deleted", async () => {
    await handOver();
    const { append } = fixture.store;
    fixture.store.append = (partition, request) => {
      // The deletion is the first record of the new owner.
      if (request.records.length > 0) fixture.store.fault = "silent";
      return append(partition, request);
    };
    own(2);
    await advanceTime(1_000);
    expect(fixture.orders).toEqual([]);
  });

  // Guards against callers who wait for a machine whose upkeep could wait.
  test("gives a machine to a short pool before its upkeep", async () => {
    for (const { id } of [...fixture.machines.values()]) {
      fixture.busy.add(`e${id.slice(1)}`);
    }
    fixture.machines.set("s1", {
      id: "s1",
      pool: "backoffice",
      state: "up",
      executor: undefined,
    });
    fixture.demand = [{
      service: "quoting",
      lastingCpu: 0,
      runningCpu: 40_000,
      waitingCpu: 0,
      waitedMs: 0,
      leastExecutors: 0,
    }];
    fixture.waves = [];
    own(1);
    await advanceTime(1_000);
    fixture.waves = [{ ...WAVE, machines: ["s1"] }];
    await advanceTime(1_500);
    expect(fixture.orders[0]).toBe("move s1 1");
  });
});
