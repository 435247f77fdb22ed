/**
 * World of a soak test of partition owners: a store, executors, jobs and the
 * machines that are reserved, in memory and in paused time.
 *
 * @module
 */

import {
  cancelKey,
  type ExecutorReport,
  JOBS_TOPIC,
  type ReservationMode,
  type Step,
} from "@lagoonloom/jobs";
import {
  createMemoryExecutors,
  createMemoryStore,
  type MemoryExecutor,
  type MemoryExecutorOptions,
  type MemoryStore,
} from "@lagoonloom/standins";
import {
  createAccepted,
  createConfiguration,
  createReport,
  createStep,
} from "../../jobs/_fixtures.ts";
import { isSchedulable } from "../../jobs/executor_state.ts";
import type { Random } from "../random.ts";
import {
  addHost,
  type ExecutorHost,
  type ExecutorHosts,
  listHosts,
  listMachines,
} from "./executor_hosts.ts";
import { type CapPlay, playCap, SOAK_ORGANISATION } from "./cap_play.ts";
import { crashExecutor } from "./crash_executor.ts";
import { describeTask } from "./describe_task.ts";
import { createExecutorLinks, type StartCall } from "./executor_links.ts";
import { HOST_CAPACITY } from "./host_capacity.ts";
import { createOwnerSeries, type OwnerSeries } from "./owner_series.ts";
import {
  createSoakChecker,
  type DeadlyTask,
  type SoakChecker,
  type SoakJob,
} from "./soak_checker.ts";

const PARTITION = 3;

/** Time that a lasting task takes to get ready. */
const READY_AFTER_MS = 700;

/** Estimate from which the progress of a short task rises while it runs. */
const LONG_ESTIMATE_MS = 2_000;

/** Interval at which it rises by a percent. */
const PROGRESS_INTERVAL_MS = 500;

/** World of a soak test. */
export type SoakWorld = {
  random: Random;
  store: MemoryStore;
  hosts: ExecutorHosts;
  owners: OwnerSeries;
  checker: SoakChecker;
  jobs: SoakJob[];
  /** Executors that the owner of the machines keeps reserved. */
  reserved: Set<string>;
  /** Executors that ended with their machines, as owners are told. */
  ended: Set<string>;
  /** Executors that certainly run nothing, as the owner says. */
  idle: Set<string>;
  /** Executors that have crashed under deadly tasks and are not back yet. */
  crashed: Set<ExecutorHost>;
  /** Monotonic time at which the last one of them was back. */
  lastReturnMs: number;
  /** Cap of the organisation of all jobs, if there is one. */
  cap: CapPlay | undefined;
  /** Events with their monotonic times. */
  history: string[];
  log(text: string): void;
  /** Returns a whole number from a range, both ends included. */
  between(low: number, high: number): number;
  /** Adds an executor, on a new machine unless an address is given. */
  addExecutor(address?: string): ExecutorHost;
  /** Starts a new process on an executor, which knows nothing. */
  restart(host: ExecutorHost): void;
  accept(fields: Partial<Step>, deadly?: DeadlyTask): SoakJob;
  cancel(job: SoakJob): void;
  close(): void;
};

/** Options of {@linkcode createSoakWorld}. */
export type SoakWorldOptions = {
  /** Whether the executor of a number refuses starts beyond its capacity. */
  guardsCapacity(executorNumber: number): boolean;
  /** Whether the configuration says that all executors do so. */
  enforcesCapacity: boolean;
  /** Duration of the leases that owners request. */
  leaseMs: number;
  /** Longest lease that the executors grant. */
  maxLeaseMs: number;
  /** Longest time after its timeout at which a late call takes effect. */
  maxLatenessMs: number;
  /**
   * Whether an executor that is cut off carries out late calls that had reached
   * it before.
   */
  keepsLateCalls: boolean;
  /** Cap of the organisation of all jobs; undefined if they have none. */
  capCpu?: number;
  /** Where owners reserve room; nowhere if undefined. */
  reservesRoom?: ReservationMode;
  /** Returns the clock of a new process; undefined for one that all share. */
  createClock(random: Random): MemoryExecutorOptions["clock"];
};

/** Creates a world without executors, jobs and owners. */
export function createSoakWorld(
  random: Random,
  options: SoakWorldOptions,
): SoakWorld {
  const { guardsCapacity, enforcesCapacity, leaseMs, maxLeaseMs } = options;
  const { capCpu } = options;
  const hosts: ExecutorHosts = new Map();
  const executors = createMemoryExecutors({ maxLeaseMs });
  const store = createMemoryStore({ partitions: 8 });
  const checker = createSoakChecker(hosts, {
    describeOwner: (task) => describeTask(world.owners.current, task),
    isUsed: (id) => isUsed(world, id),
    findExcess: () => world.cap?.findExcess(),
    mayWait: () => world.cap?.isHalfFree() === false,
  });
  const { services, ...others } = createConfiguration();
  const configuration = {
    ...others,
    services: services.map((service) => ({ ...service, enforcesCapacity })),
    organisations: capCpu === undefined ? undefined : [{
      name: SOAK_ORGANISATION,
      apiKeys: [],
      weight: 1,
      cap: { cpu: capCpu, memoryMb: 0, accelerators: 0 },
    }],
  };
  const { cpuOf } = checker;
  let hostCount = 0;
  let jobCount = 0;
  let processCount = 1;

  const crashUnder = async (host: ExecutorHost) => {
    world.crashed.add(host);
    await crashExecutor(host, world);
    world.crashed.delete(host);
    world.lastReturnMs = performance.now();
  };

  const onStarted = (host: ExecutorHost, task: string, start: StartCall) => {
    const { process } = host;
    const { run } = start;
    world.log(`${host.id} starts ${task} run ${run}`);
    checker.onStarted(host, task, start);
    const { job: { step }, deadly } = checker.tasks.get(task)!;
    if (deadly !== undefined) {
      setTimeout(() => {
        if (!host.isUp || process.running.get(task)?.run !== run) return;
        void crashUnder(host);
      }, world.between(0, deadly.maxDelayMs));
      return;
    }
    process.progress.set(task, step.isLasting ? 0 : 50);
    if (step.estimateMs > LONG_ESTIMATE_MS) reportProgress(process, task);
    setTimeout(() => {
      if (!host.isUp || process.running.get(task)?.run !== run) return;
      if (step.isLasting) process.progress.set(task, 100);
      else {
        world.log(`${host.id} ends ${task} run ${run}: done`);
        checker.onDone(host, task);
        process.end(task, "done");
      }
    }, step.isLasting ? READY_AFTER_MS : step.estimateMs);
  };

  const world: SoakWorld = {
    random,
    store,
    hosts,
    checker,
    jobs: [],
    reserved: new Set(),
    ended: new Set(),
    idle: new Set(),
    crashed: new Set(),
    lastReturnMs: -Infinity,
    history: [],
    owners: createOwnerSeries({
      partition: PARTITION,
      store,
      random,
      leaseMs,
      maxLeaseMs,
      reservesRoom: options.reservesRoom,
      view: {
        configuration: () => configuration,
        layout: () => new Map([["quoting", [PARTITION]]]),
        requestLayout: () => undefined,
      },
      listExecutors: () => listHosts(hosts),
      listMachines: () => listMachines(hosts),
      createClient: ({ isReached }) =>
        createExecutorLinks({
          hosts,
          executors,
          random,
          isReached,
          maxLatenessMs: options.maxLatenessMs,
          keepsLateCalls: options.keepsLateCalls,
          observer: {
            onStarted,
            onStopped(host, task, stop) {
              world.log(`${host.id} stops ${task} run ${stop.run}`);
              checker.onStopped(host, task, stop);
            },
            onAcknowledged: checker.onAcknowledged,
            onLeased(host, call) {
              logLongLease(world, { host, leaseMs, call });
            },
          },
        }),
      log: (text) => world.log(text),
    }),
    log: (text) =>
      world.history.push(`${(performance.now() / 1_000).toFixed(3)} ${text}`),
    between: (low, high) => low + Math.floor(random() * (high - low + 1)),
    addExecutor(address = `127.0.0.1:${hostCount + 1}`) {
      const id = `e${++hostCount}`;
      world.log(`new executor ${id}`);
      const report = reportOf({ id, address, startedAtMs: processCount++ });
      return addHost(hosts, report, {
        executors,
        guardsCapacity: guardsCapacity(hostCount),
        cpuOf,
        createClock: () => options.createClock(random),
        onProcessEnd: checker.onProcessEnd,
      });
    },
    restart(host) {
      const { id, report: { address } } = host;
      const report = reportOf({ id, address, startedAtMs: processCount++ });
      host.startProcess(report);
      world.log(`${host.id} starts again`);
    },
    accept(fields, deadly) {
      const id = (++jobCount).toString(16).padStart(16, "0");
      const step = createStep(fields);
      const job: SoakJob = {
        id,
        step,
        deadly,
        acceptedAtMs: performance.now(),
        cancelledAtMs: undefined,
      };
      world.jobs.push(job);
      checker.addJob(job);
      const { count, maxPerExecutor, maxAway, isLasting } = step;
      world.log(
        `job ${id} accepted: ${isLasting ? "lasting" : "short"}, ` +
          `${count} tasks of ${step.size.cpu} mcpu, ` +
          `maxPerExecutor ${maxPerExecutor}, maxAway ${maxAway}` +
          (deadly === undefined ? "" : `, task ${deadly.index} is deadly`),
      );
      store.put({ topic: JOBS_TOPIC, partition: PARTITION }, {
        key: id,
        value: JSON.stringify({
          ...createAccepted([step]),
          organisation: capCpu === undefined ? undefined : SOAK_ORGANISATION,
        }),
      });
      return job;
    },
    cancel(job) {
      job.cancelledAtMs = performance.now();
      world.log(`job ${job.id} cancelled`);
      store.put({ topic: JOBS_TOPIC, partition: PARTITION }, {
        key: cancelKey(job.id),
        value: "{}",
      });
    },
    cap: undefined,
    close() {
      world.cap?.close();
      world.owners.close();
    },
  };
  if (capCpu !== undefined) {
    world.cap = playCap(capCpu, {
      hosts,
      partition: PARTITION,
      owner: () => world.owners.current?.owner,
      configuration: () => configuration,
      log: world.log,
    });
  }
  return world;
}

/** Lets the progress of a task rise while it runs on a process. */
function reportProgress(process: MemoryExecutor, task: string): void {
  const timer = setInterval(() => {
    const percent = process.progress.get(task)!;
    if (!process.running.has(task) || percent >= 99) clearInterval(timer);
    else process.progress.set(task, percent + 1);
  }, PROGRESS_INTERVAL_MS);
}

/** Logs a lease that is longer than owners request. */
function logLongLease(
  world: SoakWorld,
  { host, leaseMs, call }: {
    host: ExecutorHost;
    leaseMs: number;
    call: string;
  },
): void {
  const { id, process } = host;
  const remainingMs = Math.round(process.leaseExpiryMs - process.clockMs());
  if (remainingMs <= leaseMs) return;
  world.log(`LEASE of ${id} lasts ${remainingMs} ms by a ${call}`);
}

/** Returns whether the current owner may give tasks to an executor. */
function isUsed({ owners, reserved }: SoakWorld, id: string): boolean {
  if (owners.current === undefined || reserved.has(id)) return true;
  const executor = owners.current.owner.executors.get(id);
  if (executor === undefined) return false;
  return executor.isReserved || isSchedulable(executor, performance.now());
}

/** Creates the entry of an executor in the platform's list. */
function reportOf(
  { id, address, startedAtMs }: Pick<
    ExecutorReport,
    "id" | "address" | "startedAtMs"
  >,
): ExecutorReport {
  const capacity = { ...HOST_CAPACITY };
  return createReport(id, { address, startedAtMs, capacity });
}
