/**
 * Executors of a soak test and the faults of the links to them. What runs where
 * is known here, whatever an owner believes.
 *
 * @module
 */

import type { ExecutorReport, Machine } from "@lagoonloom/jobs";
import type {
  MemoryExecutor,
  MemoryExecutorOptions,
  MemoryExecutors,
} from "@lagoonloom/standins";
import { createHostCapacity, type HostCapacity } from "./host_capacity.ts";

/** Kind of a call to an executor. */
export type CallKind = "longPoll" | "shortPoll" | "start" | "stop";

/** What happens to a call. */
export type CallFate =
  | "answered"
  /** It has no effect, and the caller waits for its timeout. */
  | "requestLost"
  /** It takes effect, and the caller waits for its timeout. */
  | "answerLost"
  /** It takes effect after the timeout of the caller. */
  | "late";

/** Fault of the link to an executor, for all calls or one kind of them. */
export type LinkFault = {
  kind: CallKind | undefined;
  fate: CallFate;
  probability: number;
  /** Longest time that a request and an answer take, in milliseconds. */
  maxDelayMs: number;
  /** Number of calls after which the fault is over. */
  remainingCalls: number;
};

/** Executor with the process that runs on it. */
export type ExecutorHost = {
  id: string;
  process: MemoryExecutor;
  /** Whether its process runs. */
  isUp: boolean;
  /** Whether calls end without an answer instead of being refused at once. */
  isSilent: boolean;
  /** Whether another process answers at its address. */
  isReplaced: boolean;
  /** Whether the platform's list shows it. */
  isListed: boolean;
  /** Whether its machine still has it, although its process may be down. */
  hasMachine: boolean;
  /** Entry in the platform's list, which may lag behind the process. */
  report: ExecutorReport;
  faults: Set<LinkFault>;
  capacity: HostCapacity;
  /** Whether it refuses starts beyond its capacity. */
  guardsCapacity: boolean;
  /** Called as its process ends, before its runs are gone. */
  onProcessEnd(): void;
  /** Sum of the tasks that run there, in thousandths of a core. */
  usedCpu(): number;
  /** Starts a new process, which knows nothing and has the full capacity. */
  startProcess(report: ExecutorReport): void;
};

/** Executors by id. */
export type ExecutorHosts = Map<string, ExecutorHost>;

/** Adds an executor that is up and listed. */
export function addHost(
  hosts: ExecutorHosts,
  report: ExecutorReport,
  { executors, guardsCapacity, cpuOf, createClock, onProcessEnd }: {
    executors: MemoryExecutors;
    guardsCapacity: boolean;
    cpuOf(task: string): number;
    createClock(): MemoryExecutorOptions["clock"];
    onProcessEnd(host: ExecutorHost): void;
  },
): ExecutorHost {
  const hasCapacityFor = (task: string) =>
    !guardsCapacity ||
    host.usedCpu() + cpuOf(task) <= host.capacity.currentCpu();
  const startProcess = (next: ExecutorReport) =>
    executors.add(next, { hasCapacityFor, clock: createClock() });
  const host: ExecutorHost = {
    id: report.id,
    process: startProcess(report),
    isUp: true,
    isSilent: false,
    isReplaced: false,
    isListed: true,
    hasMachine: true,
    report,
    faults: new Set(),
    capacity: createHostCapacity(),
    guardsCapacity,
    onProcessEnd: () => onProcessEnd(host),
    usedCpu() {
      let cpu = 0;
      for (const task of host.process.running.keys()) cpu += cpuOf(task);
      return cpu;
    },
    startProcess(next) {
      host.process = startProcess(next);
      host.capacity = createHostCapacity();
      host.isUp = true;
      host.isSilent = false;
    },
  };
  hosts.set(host.id, host);
  return host;
}

/** Shows the current process of an executor in the list, as it is now. */
export function showProcess(host: ExecutorHost): void {
  const { report } = host.process;
  const cpu = host.capacity.currentCpu();
  host.report = { ...report, capacity: { ...report.capacity, cpu } };
}

/** Ends the process of an executor together with its runs. */
export function stopProcess(host: ExecutorHost): void {
  host.onProcessEnd();
  host.isUp = false;
  host.process.running.clear();
}

/** Ends an executor for good, so that its machine may get another one. */
export function removeExecutor(host: ExecutorHost): void {
  stopProcess(host);
  host.hasMachine = false;
}

/** Returns the machines, each with its executor. */
export function listMachines(hosts: ExecutorHosts): Machine[] {
  return [...hosts.values()].filter(({ hasMachine }) => hasMachine)
    .map(({ id, isUp }) => ({
      id: `m-${id}`,
      pool: "quoting",
      state: isUp ? "up" : "down",
      executor: id,
    }));
}

/** Returns the entries of the platform's list. */
export function listHosts(hosts: ExecutorHosts): Map<string, ExecutorReport> {
  return new Map(
    [...hosts.values()].filter(({ isListed }) => isListed)
      .map(({ id, report }) => [id, report]),
  );
}
