/**
 * Maintains machines in the waves that operators request and moves them to the
 * pools that need them. One process at a time owns the machines.
 *
 * @module
 */

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
import { createDemandTrend } from "./demand_trend.ts";
import { logShortages } from "./log_shortages.ts";
import { createMachineOrders } from "./machine_orders.ts";
import { type Move, planMoves } from "./plan_moves.ts";
import { planUpkeep } from "./plan_upkeep.ts";
import type { PartitionReport, ServiceDemand } from "./partition_report.ts";
import { countByPool, sumDemand } from "./pool_sums.ts";
import { findShortages, type PoolState } from "./pool_shortages.ts";
import { createWaveTracker } from "./wave_tracker.ts";

/** Interval between two rounds of planning. */
const RECONCILE_INTERVAL_MS = 250;

/** Maximum age of the list of machines while there is nothing to do. */
const IDLE_LIST_MAX_AGE_MS = 5_000;

/** Maximum age of the list of machines while waves, orders or tasks wait. */
const BUSY_LIST_MAX_AGE_MS = 500;

/**
 * Maximum age of the reports on which an order is sent again. The reservations
 * that were made with them last for longer.
 */
const MAX_REPORT_AGE_MS = 1_000;

/** Longest wait for pending writes when ownership is released. */
const RELEASE_TIMEOUT_MS = 500;

/** Share of its initial size that a pool keeps even without load. */
const MIN_POOL_SIZE_SHARE = 0.6;

/** Key of the stored initial sizes of the pools. */
const INITIAL_SIZES_KEY = "home";

/** Schema of the stored initial sizes: machines by pool. */
const StoredPoolSizes = z.record(z.string(), z.number());

/**
 * Schema of the handover of an owner without open orders: the time for which
 * the owner before it may still send some.
 */
const Handover = z.object({ waitMs: z.number().min(0) });

/** Options of {@linkcode createMachinesOwner}. */
export type MachinesOwnerOptions = {
  /** Partition whose owner owns the machines. */
  partition: number;
  /** Epoch of the ownership and fencing token of the orders. */
  epoch: number;
  /** Lease holder that is named in the orders. */
  holder: string;
  store: Store;
  machines: MachineClient;
  events: JobEventLog;
  configuration(): Configuration | undefined;
  /** Returns the upkeep waves that operators have requested. */
  waves(): readonly UpkeepWave[];
  /** Returns the processor time of a typical machine in millicores. */
  typicalMachineCpu(): number;
  /** Returns the monotonic time until which the store confirmed ownership. */
  confirmedAtMs(): number;
  /**
   * Reserves executors at the owners of all partitions, tells them which
   * executors have ended, and returns their reports, undefined for an owner
   * that did not answer.
   */
  collectReports(
    reserved: readonly string[],
    ended: readonly string[],
  ): Promise<(PartitionReport | undefined)[]>;
  /** Called when another process has taken over the machines. */
  onLost(reason: string): void;
};

/** Owner of all machines of the platform. */
export type MachinesOwner = {
  epoch: number;
  /** Stores pending changes and gives up the ownership. */
  release(): Promise<void>;
};

/**
 * Takes over the machines: runs the requested upkeep waves and moves machines
 * to the pools whose tasks wait. A machine is ordered away only after the
 * partition owner of its executor has reserved the executor and reported that
 * nothing runs there.
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
  /** Machines of each pool when the list was read for the first time. */
  let initialSizes = new Map<string, number>();
  /** Monotonic time since which an executor is idle, by executor. */
  const idleSinceMs = new Map<string, number>();
  let machines = new Map<string, Machine>();
  let listedAtMs = -Infinity;
  let demand = new Map<string, ServiceDemand>();
  const trend = createDemandTrend();
  /** Machines that were selected for upkeep and are draining. */
  let draining: ReadonlySet<string> = new Set();
  /** Monotonic time of the request for the last reports. */
  let reportedAtMs = -Infinity;
  let isClosed = false;
  let isReleasing = false;
  /** Monotonic time until which an earlier owner may still send orders. */
  let ordersAllowedFromMs = performance.now() + ADMISSION_GRACE_MS +
    IN_FLIGHT_MARGIN_MS;

  const progress = createProgressLog({
    store: options.store,
    partition: { topic: PROGRESS_TOPIC, partition },
    writer: { name: writerName(partition), epoch },
    onFenced: () => handleLoss("store"),
    onFailure: (failure) =>
      events.log("progressDelayed", { partition, ...failure }),
    onRejected: (failure) =>
      events.log("progressRejected", { partition, ...failure }),
  });

  const waves = createWaveTracker({
    progress,
    events,
    announce: (wave, state) => options.machines.announce(wave, state),
  });

  const close = () => {
    isClosed = true;
    progress.close();
  };

  const handleLoss = (reason: string) => {
    if (isClosed) return;
    close();
    options.onLost(reason);
  };

  const orders = createMachineOrders({
    epoch,
    events,
    mayRetry: ({ machine }) => mayRetry(machine),
    isClosed: () => isClosed,
    onFenced: () => handleLoss("machines"),
  });

  /** Returns whether no other owner can be sending orders now. */
  const mayOrder = () =>
    !isReleasing && isConfirmed() && performance.now() >= ordersAllowedFromMs;

  /**
   * Returns whether nothing runs on a machine that an order without an answer
   * would end. Tasks may have started there since the order was first sent.
   */
  const mayRetry = (id: string) => {
    const isRecent = performance.now() - reportedAtMs < MAX_REPORT_AGE_MS;
    const isUp = machines.get(id)?.state === "up";
    return mayOrder() && (!isUp || (isRecent && isIdle(id)));
  };

  const isIdle = (id: string) => {
    const machine = machines.get(id);
    if (machine?.state !== "up") return false;
    if (standbyPools().has(machine.pool)) return true;
    return machine.executor !== undefined && idleSinceMs.has(machine.executor);
  };

  const isConfirmed = () =>
    performance.now() - options.confirmedAtMs() < ADMISSION_GRACE_MS;

  const refreshMachines = async (): Promise<void> => {
    const isBusy = waves.active().length > 0 || orders.unsettled().size > 0 ||
      [...demand.values()].some(({ waitingCpu }) => waitingCpu > 0);
    const maxAgeMs = isBusy ? BUSY_LIST_MAX_AGE_MS : IDLE_LIST_MAX_AGE_MS;
    if (performance.now() - listedAtMs < maxAgeMs) return;
    const requestedAtMs = performance.now();
    const list = await options.machines.list();
    if (list === undefined) return;
    listedAtMs = requestedAtMs;
    machines = new Map(list.map((machine) => [machine.id, machine]));
    if (initialSizes.size === 0 && list.length > 0) {
      initialSizes = countByPool(list);
      progress.put(
        INITIAL_SIZES_KEY,
        () => JSON.stringify(Object.fromEntries(initialSizes)),
      );
    }
    orders.reconcile(machines, requestedAtMs);
  };

  const applyReports = (collected: (PartitionReport | undefined)[]) => {
    const reports = collected.filter((it) => it !== undefined);
    demand = sumDemand(reports);
    trend.add(demand);
    const nowMs = performance.now();
    const idle = new Set(reports.flatMap((report) => report.idle));
    for (const id of idleSinceMs.keys()) {
      if (!idle.has(id)) idleSinceMs.delete(id);
    }
    for (const id of idle) if (!idleSinceMs.has(id)) idleSinceMs.set(id, nowMs);
  };

  const standbyPools = () =>
    new Set(
      options.configuration()?.services.filter(({ isStandby }) => isStandby)
        .map(({ name }) => name),
    );

  const planCurrentUpkeep = (moves: readonly Move[]) =>
    planUpkeep({
      waves: waves.active(),
      machines,
      down: machinesInUpkeep(),
      ordered: new Set([
        ...orders.unsettled().keys(),
        ...moves.map(({ machine }) => machine),
      ]),
      draining,
      idle: new Set(idleSinceMs.keys()),
      standbyPools: standbyPools(),
      isPoolShort: findShortages(poolState()).length > 0,
      loadOf,
      nowMs: performance.now(),
    });

  const machinesInUpkeep = () => {
    const down = new Set<string>();
    for (const [id, { state }] of machines) {
      if (state === "upkeep") down.add(id);
    }
    for (const [id, { kind }] of orders.unsettled()) {
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

  const poolState = (): PoolState => {
    const destinations = new Map<string, string>();
    for (const [id, { kind, pool }] of orders.unsettled()) {
      if (kind === "move") destinations.set(id, pool);
    }
    return {
      machines: [...machines.values()],
      destinations,
      demand,
      growthOf: trend.growthOf,
      machineCpu: options.typicalMachineCpu(),
    };
  };

  const planCurrentMoves = (selected: Iterable<string>): Move[] => {
    const nowMs = performance.now();
    return planMoves({
      ...poolState(),
      unavailable: new Set([...selected, ...orders.unsettled().keys()]),
      idleMs: new Map(
        [...idleSinceMs].map(([id, sinceMs]) => [id, nowMs - sinceMs]),
      ),
      standbyPools: standbyPools(),
      minSizeOf: (pool) =>
        Math.max(
          Math.ceil((initialSizes.get(pool) ?? 1) * MIN_POOL_SIZE_SHARE),
          (demand.get(pool)?.leastExecutors ?? 0) + 1,
        ),
    });
  };

  const holder = { name: options.holder, token: epoch };

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
    const hasStarted = outcome.type === "done" ||
      (outcome.type === "refused" && outcome.reason === "wave");
    if (hasStarted) waves.markStarted(wave, machine);
  };

  const move = async ({ machine, pool, reason }: Move) => {
    const executor = machines.get(machine)?.executor;
    await orders.send(
      { machine, kind: "move", pool, reason, executor },
      () => options.machines.move({ machine, pool }, holder),
    );
    listedAtMs = -Infinity;
  };

  const reconcile = async (): Promise<void> => {
    waves.update(options.waves());
    await refreshMachines();
    // Callers of a short pool wait now, whereas upkeep only has to end in time.
    const moves = mayOrder() ? planCurrentMoves(draining) : [];
    const upkeep = mayOrder()
      ? planCurrentUpkeep(moves)
      : new Map<string, number>();
    draining = new Set(upkeep.keys());
    if (mayOrder()) {
      logShortages(events, poolState(), {
        moves,
        standbyPools: standbyPools(),
        inUpkeep: machinesInUpkeep().size,
        isIdle,
      });
    }
    const selected = [
      ...upkeep.keys(),
      ...moves.map(({ machine }) => machine),
      ...orders.unsettled().keys(),
    ];
    const reserved = selected
      .map((id) => machines.get(id)?.executor)
      .filter((id): id is string => id !== undefined);
    const requestedAtMs = performance.now();
    applyReports(
      await options.collectReports(reserved, orders.endedExecutors()),
    );
    reportedAtMs = requestedAtMs;
    if (isClosed) return;
    const calls: Promise<unknown>[] = [];
    for (const [machine, wave] of upkeep) {
      if (mayOrder() && isIdle(machine)) calls.push(maintain(machine, wave));
    }
    for (const planned of moves) {
      if (mayOrder() && isIdle(planned.machine)) calls.push(move(planned));
    }
    void Promise.all(calls);
    await waves.announce(machines);
  };

  const applyHandover = (documents: ReadonlyMap<string, unknown>) => {
    if (!documents.has(HANDOVER_KEY)) return;
    progress.put(HANDOVER_KEY, () => undefined);
    const handover = Handover.safeParse(documents.get(HANDOVER_KEY));
    if (!handover.success) return;
    const readAtMs = performance.now();
    // The next owner would read it again, though this one has sent orders.
    progress.whenStored(() => {
      ordersAllowedFromMs = Math.min(
        ordersAllowedFromMs,
        readAtMs + handover.data.waitMs,
      );
    });
  };

  /** Stores that no order is open, and how long the own wait would last. */
  const storeHandover = () => {
    if (orders.hasUnanswered()) return;
    const waitMs = Math.max(0, ordersAllowedFromMs - performance.now());
    progress.put(HANDOVER_KEY, () => JSON.stringify({ waitMs }));
  };

  const run = async () => {
    while (!isClosed) {
      const outcome = await loadPartition(options.store, { partition, epoch });
      if (outcome.type === "fenced") return handleLoss("store");
      if (outcome.type === "loaded") {
        applyHandover(outcome.state.otherDocuments);
        for (const [key, value] of outcome.state.otherDocuments) {
          const sizes = StoredPoolSizes.safeParse(value);
          if (key === INITIAL_SIZES_KEY && sizes.success) {
            initialSizes = new Map(Object.entries(sizes.data));
          }
          waves.restore(key, value);
        }
        break;
      }
      await sleep(RECONCILE_INTERVAL_MS);
    }
    while (!isClosed) {
      // Reporting would replace the reservations of a newer owner.
      if (isConfirmed()) await reconcile();
      await sleep(RECONCILE_INTERVAL_MS);
    }
  };
  void run();

  return {
    epoch,
    async release() {
      isReleasing = true;
      storeHandover();
      await progress.drain(RELEASE_TIMEOUT_MS);
      close();
    },
  };
}
