import { sleep } from "../_sleep.ts";
import { z } from "zod";
import { createProgressLog } from "../ended/progress_log.ts";
import type { Configuration, Machine, UpkeepWave } from "../fleet.ts";
import type { JobEvents } from "../job_events.ts";
import { loadPartition, writerName } from "../owned/load_partition.ts";
import type { MachineOutcome, Machines, Store } from "../ports.ts";
import { PROGRESS_TOPIC } from "../topics.ts";
import { hasTakenEffect, type MachineOrder } from "./machine_order.ts";
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

/** Time after which an order without an effect is planned again. */
const ORDER_TTL_MS = 4_000;

/** Time for which owners are told of an executor that has ended. */
const ENDED_MS = 10_000;

/** Part of its first size that a pool without load keeps at the least. */
const LENT_DOWN_TO = 0.6;

/** Pause before an order without an answer is repeated. */
const ORDER_RETRY_MS = 300;

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
  machines: Machines;
  events: JobEvents;
  configuration(): Configuration | undefined;
  waves(): readonly UpkeepWave[];
  /** Thousandths of a core of a usual machine. */
  machineCpu(): number;
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
  const orders = new Map<string, MachineOrder>();
  /** Machines that each pool had when the platform was first seen. */
  let home = new Map<string, number>();
  /** Executors that have ended by an order, and since when. */
  const ended = new Map<string, number>();
  const idleSince = new Map<string, number>();
  let machines = new Map<string, Machine>();
  let listedAtMs = -Infinity;
  let demand = new Map<string, ServiceDemand>();
  let isClosed = false;

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

  const recentlyEnded = (): string[] => {
    const nowMs = performance.now();
    for (const [id, atMs] of ended) {
      if (nowMs - atMs > ENDED_MS) ended.delete(id);
    }
    return [...ended.keys()];
  };

  const readList = async (): Promise<void> => {
    const isBusy = waves.open().length > 0 || orders.size > 0 ||
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
    for (const [id, order] of orders) {
      const machine = machines.get(id);
      if (order.atMs > sentMs) continue;
      const isOver = machine === undefined ||
        hasTakenEffect(machine, { order, sentMs }) ||
        (order.answeredAtMs !== undefined &&
          performance.now() - order.answeredAtMs > ORDER_TTL_MS);
      if (isOver) orders.delete(id);
    }
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
      ordered: new Set(orders.keys()),
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
    for (const [id, { kind }] of orders) if (kind === "upkeep") down.add(id);
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
    for (const [id, { kind, pool }] of orders) {
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

  const order = async (
    machine: string,
    entry: MachineOrder,
    call: () => Promise<MachineOutcome>,
  ): Promise<MachineOutcome> => {
    orders.set(machine, entry);
    let outcome = await call();
    while (outcome.type === "unknown" && !isClosed) {
      // The order may still be carried out, so it is repeated until known.
      await sleep(ORDER_RETRY_MS);
      outcome = await call();
    }
    events.log("machineOrdered", {
      machine,
      order: entry.kind,
      pool: entry.pool,
      epoch,
      reason: entry.reason,
      outcome: outcome.type === "refused" ? outcome.reason : outcome.type,
    });
    if (outcome.type === "refused") {
      if (outcome.reason === "fence") lose("machines");
      orders.delete(machine);
    }
    if (outcome.type === "done" && entry.executor !== undefined) {
      ended.set(entry.executor, performance.now());
    }
    entry.answeredAtMs = performance.now();
    listedAtMs = -Infinity;
    return outcome;
  };

  const maintain = async (machine: string, number: number) => {
    const outcome = await order(
      machine,
      {
        atMs: performance.now(),
        kind: "upkeep",
        pool: "",
        reason: `wave ${number}`,
        executor: machines.get(machine)?.executor,
      },
      () =>
        options.machines.upkeep({ machine, wave: number }, {
          name: options.holder,
          token: epoch,
        }),
    );
    const isBegun = outcome.type === "done" ||
      (outcome.type === "refused" && outcome.reason === "wave");
    if (!isBegun) return;
    waves.begin(number, machine);
  };

  const move = (planned: Move) =>
    order(
      planned.machine,
      {
        atMs: performance.now(),
        kind: "move",
        pool: planned.pool,
        reason: planned.reason,
        executor: machines.get(planned.machine)?.executor,
      },
      () =>
        options.machines.move(
          { machine: planned.machine, pool: planned.pool },
          { name: options.holder, token: epoch },
        ),
    );

  const round = async (): Promise<void> => {
    waves.update(options.waves());
    await readList();
    const upkeep = planUpkeepNow();
    const moves = planMovesNow(new Set(upkeep.keys()));
    const wanted = [
      ...upkeep.keys(),
      ...moves.map(({ machine }) => machine),
      ...orders.keys(),
    ];
    const reserved = wanted
      .map((id) => machines.get(id)?.executor)
      .filter((id): id is string => id !== undefined);
    applyReports(await options.collect(reserved, recentlyEnded()));
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
      if (isFree(machine)) calls.push(maintain(machine, wave));
    }
    for (const planned of moves) {
      if (isFree(planned.machine)) calls.push(move(planned));
    }
    void Promise.all(calls);
    await waves.announce(machines);
  };

  const run = async () => {
    while (!isClosed) {
      const outcome = await loadPartition(options.store, { partition, epoch });
      if (outcome.type === "fenced") return lose("store");
      if (outcome.type === "loaded") {
        for (const [key, value] of outcome.state.other) {
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
      await round();
      await sleep(ROUND_MS);
    }
  };
  void run();

  return {
    epoch,
    async release() {
      await progress.drain(500);
      close();
    },
  };
}
