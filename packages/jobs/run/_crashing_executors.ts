/**
 * Fixture of the tests on tasks that crash the executors on which they start.
 *
 * @module
 */

import type { MemoryExecutor } from "@lagoonloom/standins";
import { advanceTime, type OwnerFixture } from "../_fixtures.ts";
import type { PartitionOwner } from "../owned/partition_owner.ts";

/** Time for which a crashed executor is away. */
export const DOWN_MS = 3_000;

/** Interval of the platform's list of executors. */
const LIST_INTERVAL_MS = 400;

/** What becomes of the machine of an executor that has crashed. */
export type Return =
  /** Another executor starts at its address. */
  | "newId"
  /** The executor starts again under its id. */
  | "sameId"
  /** The same process answers again: it was only cut off. */
  | "cutOff";

/** Options of {@linkcode CrashingExecutors.play}. */
export type PlayOptions = {
  seconds: number;
  whatReturns: Return;
  /** Whether a task crashes the executors on which it starts. */
  isDeadly(task: string): boolean;
  /** Time from a start to the crash of its executor. */
  crashDelayMs?: number;
};

/** Executors that crash, and come back after a while. */
export type CrashingExecutors = {
  hosts: MemoryExecutor[];
  crashed: Set<MemoryExecutor>;
  addHost(index: number, life?: number): void;
  /** Takes an executor down for a while. */
  crash(
    host: MemoryExecutor,
    whatReturns: Return,
    delayMs?: number,
  ): Promise<void>;
  /** Lets tasks take down executors for a time, and returns their starts. */
  play(
    owner: PartitionOwner,
    options: PlayOptions,
  ): Promise<MemoryExecutor["starts"]>;
  /** Returns the tasks that run on executors which are up. */
  findRunning(): Set<string>;
};

/** Creates a fixture without executors. */
export function createCrashingExecutors(
  fixture: OwnerFixture,
): CrashingExecutors {
  const hosts: MemoryExecutor[] = [];
  const crashed = new Set<MemoryExecutor>();

  const crash = async (
    host: MemoryExecutor,
    whatReturns: Return,
    delayMs = 0,
  ) => {
    const { id, address, startedAtMs } = host.report;
    if (delayMs > 0) {
      await new Promise((resolve) => setTimeout(resolve, delayMs));
    }
    host.fault = "unreachable";
    setTimeout(() => {
      if (whatReturns === "cutOff") {
        host.fault = undefined;
        return;
      }
      if (whatReturns === "newId") fixture.reports.delete(id);
      const [name] = id.split("-");
      const next = startedAtMs + 1;
      const nextId = whatReturns === "sameId" ? id : `${name}-${next}`;
      hosts.push(fixture.addExecutor(nextId, { address, startedAtMs: next }));
    }, DOWN_MS);
  };

  return {
    hosts,
    crashed,
    crash,
    addHost(index, life = 1) {
      const host = fixture.addExecutor(`e${index}-${life}`, {
        address: `127.0.0.1:${index}`,
        startedAtMs: life,
      });
      hosts.push(host);
    },
    async play(owner, { seconds, whatReturns, isDeadly, crashDelayMs }) {
      for (let ms = 0; ms < 1_000 * seconds; ms += 10) {
        for (const host of hosts) {
          const isHit = host.starts.some(({ task }) => isDeadly(task));
          if (!isHit || crashed.has(host)) continue;
          crashed.add(host);
          void crash(host, whatReturns, crashDelayMs);
        }
        if (ms % LIST_INTERVAL_MS === 0) owner.refresh();
        await advanceTime(10);
      }
      return hosts.flatMap(({ starts }) => starts)
        .filter(({ task }) => isDeadly(task));
    },
    findRunning: () =>
      new Set(
        hosts.filter(({ fault }) => fault === undefined)
          .flatMap(({ running }) => [...running.keys()]),
      ),
  };
}
