import { z } from "zod";
import { sleep } from "../_sleep.ts";
import { createProgressLog } from "../ended/progress_log.ts";
import type { Configuration, Machine, UpkeepWave } from "../fleet.ts";
import type { JobEventLog } from "../job_event_log.ts";
import { loadPartition, writerName } from "../owned/load_partition.ts";
import {
  ADMISSION_GRACE_MS,
  IN_FLIGHT_MARGIN_MS,
} from "../owned/owner_state.ts";
import type { MachineClient, Store } from "../ports.ts";
import { HANDOVER_KEY, PROGRESS_TOPIC } from "../topics.ts";
import { createMachineOrders } from "./machine_orders.ts";
import { type Move, planMoves } from "./plan_moves.ts";
import { planUpkeep } from "./plan_upkeep.ts";
import type { PoolReport, ServiceDemand } from "./pool_report.ts";
import { countByPool, sumDemand } from "./pool_sums.ts";
import { createWaveBook } from "./wave_book.ts";

/** Period of the rounds in which machines are planned. */
const ROUND_MS = 250;

/** Age after which the list of machines is read again, if nothing is open. */
const IDLE_LIST_MS = 5_000;

/** Age after which the list of machines is read again otherwise. */
const BUSY_LIST_MS = 500;

/** Time that stored changes get when the machines are given up. */
const RELEASE_TIMEOUT_MS = 500;

/** Part of its first size that a pool without load keeps at the least. */
const LENT_DOWN_TO = 0.6;

/** Key of the stored sizes of the pools. */
const HOME_KEY = "home";

/** Schema of the stored sizes of the pools. */
const StoredHome = z.record(z.string(), z.number());

/** Options of {@linkcode createMachinesOwner}. */
export type MachinesOwnerOptions = {
  partition: number;
  epoch: number;
  /** Name under which the machines are ordered. */
  holder: string;
  store: Store;
  machines: MachineClient;
  events: JobEventLog;
  configuration(): Configuration | undefined;
  waves(): readonly UpkeepWave[];
  /** Thousandths of a core of a usual machine. */
  machineCpu(): number;
  /** Steady time up to which the store has confirmed the ownership. */
  confirmedAtMs(): number;
  /**
   * Reserves executors at all owners, tells them which have ended, and collects
   * what they tell; undefined for a partition whose owner did not answer.
   */
  collect(
    reserved: readonly string[],
    ended: readonly string[],
  ): Promise<(PoolReport | undefined)[]>;
  onLost(reason: string): void;
};

/** Holder of all machines of the platform. */
export type MachinesOwner = {
  epoch: number;
  release(): Promise<void>;
};

/**
 * Takes the machines over: carries out the waves of upkeep and moves machines
 * to the pools whose tasks wait. A machine is only ordered away after the
 * owner of its executor has reserved it and said that nothing runs there.
 *
 * @example
 * ```ts
 * const machines = createMachinesOwner({ partition: 31, epoch: 7, ...rest });
 * ```
 */
export function createMachinesOwner(
  options: MachinesOwnerOptions,
): MachinesOwner {
  const { partition, epoch, events } = options;
  /** Machines that each pool had when the platform was first seen. */
  let home = new Map<string, number>();
  const idleSince = new Map<string, number>();
  let machines = new Map<string, Machine>();
  let listedAtMs = -Infinity;
  let demand = new Map<string, ServiceDemand>();
  let isClosed = false;
  let isReleasing = false;
  /** Steady time until which an earlier owner may still order machines. */
  let ordersFromMs = performance.now() + ADMISSION_GRACE_MS +
    IN_FLIGHT_MARGIN_MS;

  const progress = createProgressLog({
    store: options.store,
    place: { topic: PROGRESS_TOPIC, partition },
    writer: { name: writerName(partition), epoch },
    onFenced: () => lose("store"),
    onFailure: (reason) => events.log("progressDelayed", { partition, reason }),
  });

  const waves = createWaveBook({
    progress,
    events,
    announce: (wave, state) => options.machines.announce(wave, state),
  });

  const close = () => {
    isClosed = true;
    progress.close();
  };

  const lose = (reason: string) => {
    if (isClosed) return;
    close();
    options.onLost(reason);
  };

  const orders = createMachineOrders({
    epoch,
    events,
    mayOrder: () => mayOrder(),
    isClosed: () => isClosed,
    onFenced: () => lose("machines"),
  });

  /** Two holders must not order the machines at the same time. */
  const mayOrder = () =>
    !isReleasing && isConfirmed() && performance.now() >= ordersFromMs;

  const isConfirmed = () =>
    performance.now() - options.confirmedAtMs() < ADMISSION_GRACE_MS;

  const readList = async (): Promise<void> => {
    const isBusy = waves.open().length > 0 || orders.open().size > 0 ||
      [...demand.values()].some(({ waitingCpu }) => waitingCpu > 0);
    const maxAgeMs = isBusy ? BUSY_LIST_MS : IDLE_LIST_MS;
    if (performance.now() - listedAtMs < maxAgeMs) return;
    const sentMs = performance.now();
    const list = await options.machines.list();
    if (list === undefined) return;
    listedAtMs = sentMs;
    machines = new Map(list.map((machine) => [machine.id, machine]));
    if (home.size === 0 && list.length > 0) {
      home = countByPool(list);
      progress.put(HOME_KEY, () => JSON.stringify(Object.fromEntries(home)));
    }
    orders.settle(machines, sentMs);
  };

  const applyReports = (found: (PoolReport | undefined)[]) => {
    const reports = found.filter((it) => it !== undefined);
    demand = sumDemand(reports);
    const nowMs = performance.now();
    const idle = new Set(reports.flatMap((report) => report.idle));
    for (const id of idleSince.keys()) if (!idle.has(id)) idleSince.delete(id);
    for (const id of idle) if (!idleSince.has(id)) idleSince.set(id, nowMs);
  };

  const standbyPools = () =>
    new Set(
      options.configuration()?.services.filter(({ isStandby }) => isStandby)
        .map(({ name }) => name),
    );

  const planUpkeepNow = () =>
    planUpkeep({
      waves: waves.open(),
      machines,
      down: downMachines(),
      ordered: new Set(orders.open().keys()),
      idle: new Set(idleSince.keys()),
      standbyPools: standbyPools(),
      loadOf,
      nowMs: performance.now(),
    });

  const downMachines = () => {
    const down = new Set<string>();
    for (const [id, { state }] of machines) {
      if (state === "upkeep") down.add(id);
    }
    for (const [id, { kind }] of orders.open()) {
      if (kind === "upkeep") down.add(id);
    }
    return down;
  };

  const loadOf = (pool: string): number => {
    const entry = demand.get(pool);
    if (entry === undefined) return 0;
    let size = 0;
    for (const machine of machines.values()) if (machine.pool === pool) size++;
    return (entry.runningCpu + entry.waitingCpu) / Math.max(size, 1);
  };

  const planMovesNow = (taken: Set<string>): Move[] => {
    const nowMs = performance.now();
    const incoming = new Map<string, string>();
    for (const [id, { kind, pool }] of orders.open()) {
      if (kind === "move") incoming.set(id, pool);
      taken.add(id);
    }
    return planMoves({
      machines: [...machines.values()],
      taken,
      incoming,
      demand,
      idleMs: new Map(
        [...idleSince].map(([id, sinceMs]) => [id, nowMs - sinceMs]),
      ),
      standbyPools: standbyPools(),
      machineCpu: options.machineCpu(),
      leastOf: (pool) =>
        Math.max(
          Math.ceil((home.get(pool) ?? 1) * LENT_DOWN_TO),
          (demand.get(pool)?.leastExecutors ?? 0) + 1,
        ),
    });
  };

  const holder = { name: options.holder, fencingToken: epoch };

  const maintain = async (machine: string, wave: number) => {
    const outcome = await orders.send(
      {
        machine,
        kind: "upkeep",
        pool: "",
        reason: `wave ${wave}`,
        executor: machines.get(machine)?.executor,
      },
      () => options.machines.upkeep({ machine, wave }, holder),
    );
    listedAtMs = -Infinity;
    const isBegun = outcome.type === "done" ||
      (outcome.type === "refused" && outcome.reason === "wave");
    if (isBegun) waves.begin(wave, machine);
  };

  const move = async ({ machine, pool, reason }: Move) => {
    const executor = machines.get(machine)?.executor;
    await orders.send(
      { machine, kind: "move", pool, reason, executor },
      () => options.machines.move({ machine, pool }, holder),
    );
    listedAtMs = -Infinity;
  };

  const round = async (): Promise<void> => {
    waves.update(options.waves());
    await readList();
    const upkeep = mayOrder() ? planUpkeepNow() : new Map<string, number>();
    const moves = mayOrder() ? planMovesNow(new Set(upkeep.keys())) : [];
    const wanted = [
      ...upkeep.keys(),
      ...moves.map(({ machine }) => machine),
      ...orders.open().keys(),
    ];
    const reserved = wanted
      .map((id) => machines.get(id)?.executor)
      .filter((id): id is string => id !== undefined);
    applyReports(await options.collect(reserved, orders.ended()));
    if (isClosed) return;
    const isFree = (id: string) => {
      const machine = machines.get(id);
      if (machine?.state !== "up") return false;
      if (standbyPools().has(machine.pool)) return true;
      return machine.executor !== undefined &&
        idleSince.has(machine.executor);
    };
    const calls: Promise<unknown>[] = [];
    for (const [machine, wave] of upkeep) {
      if (mayOrder() && isFree(machine)) calls.push(maintain(machine, wave));
    }
    for (const planned of moves) {
      if (mayOrder() && isFree(planned.machine)) calls.push(move(planned));
    }
    void Promise.all(calls);
    await waves.announce(machines);
  };

  const run = async () => {
    while (!isClosed) {
      const outcome = await loadPartition(options.store, { partition, epoch });
      if (outcome.type === "fenced") return lose("store");
      if (outcome.type === "loaded") {
        if (outcome.state.otherDocuments.has(HANDOVER_KEY)) {
          // The owner before has said that none of its orders is on its way.
          progress.put(HANDOVER_KEY, () => undefined);
          ordersFromMs = 0;
        }
        for (const [key, value] of outcome.state.otherDocuments) {
          const sizes = StoredHome.safeParse(value);
          if (key === HOME_KEY && sizes.success) {
            home = new Map(Object.entries(sizes.data));
          }
          waves.restore(key, value);
        }
        break;
      }
      await sleep(ROUND_MS);
    }
    while (!isClosed) {
      // The reservations of another holder must not be undone.
      if (isConfirmed()) await round();
      await sleep(ROUND_MS);
    }
  };
  void run();

  return {
    epoch,
    async release() {
      isReleasing = true;
      if (!orders.hasUnanswered()) progress.put(HANDOVER_KEY, () => "{}");
      await progress.drain(RELEASE_TIMEOUT_MS);
      close();
    },
  };
}
