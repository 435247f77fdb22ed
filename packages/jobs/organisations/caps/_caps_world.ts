/**
 * Owners of several partitions with a broker of the caps, on a platform in
 * memory.
 *
 * @module
 */

import {
  createMemoryExecutors,
  createMemoryStore,
  type MemoryExecutor,
} from "@lagoonloom/standins";
import {
  createAccepted,
  createConfiguration,
  createReport,
} from "../../_record_fixtures.ts";
import type { Configuration, ExecutorReport } from "../../fleet.ts";
import {
  createPartitionOwner,
  type PartitionOwner,
} from "../../owned/partition_owner.ts";
import type { Size, Step } from "../../submission.ts";
import { cancelKey, JOBS_TOPIC } from "../../topics.ts";
import { createOrganisationCaps } from "./organisation_caps.ts";
import { type CapBrokerRun, runCapBroker } from "./run_cap_broker.ts";

/** Organisation of all jobs of a world, unless they name another one. */
export const NORTHWIND = "northwind";

/** Services of a world, one for each partition. */
const SERVICES = ["quoting", "orders", "shipping"];

/** Time that a run needs to stop. */
export const STOP_MS = 1_500;

/** Interval at which the executors are observed. */
const TICK_MS = 5;

/** Owners, broker and executors of a test. */
export type CapsWorld = {
  configuration: Configuration;
  executors: Map<string, MemoryExecutor>;
  /** Events that were logged, as `name {fields}`. */
  logged: string[];
  /** Partitions whose owners the broker does not reach. */
  cut: Set<number>;
  /** Most processor time that was in use at a time since it was reset. */
  highestCpu: number;
  setCap(cap: Size | undefined): void;
  startOwner(partition: number): void;
  killOwner(partition: number): void;
  startBroker(): void;
  killBroker(): void;
  /** Accepts a job in a partition, each of whose tasks uses 1 core. */
  accept(
    id: string,
    options: { partition: number; step: Step; organisation?: string },
  ): void;
  cancel(id: string, partition: number): void;
  /** Returns the number of tasks that run, of one partition or all. */
  countRunning(partition?: number): number;
  close(): void;
};

/** Creates a world; the test must use fake timers. */
export function createCapsWorld(): CapsWorld {
  const store = createMemoryStore({ partitions: 8 });
  const memory = createMemoryExecutors();
  const reports = new Map<string, ExecutorReport>();
  const owners = new Map<number, PartitionOwner>();
  const layout = new Map(SERVICES.map((name, index) => [name, [index]]));
  let epochs = 0;
  let broker: CapBrokerRun | undefined;
  const events = {
    log: (name: string, fields?: unknown) =>
      world.logged.push(`${name} ${JSON.stringify(fields)}`),
  };
  const now = () => performance.now();

  const world: CapsWorld = {
    configuration: createConfiguration(),
    executors: new Map(),
    logged: [],
    cut: new Set(),
    highestCpu: 0,
    setCap(cap) {
      const base = createConfiguration();
      const organisations = cap &&
        [{ name: NORTHWIND, apiKeys: [], weight: 1, cap }];
      world.configuration = { ...base, organisations };
    },
    startOwner(partition) {
      const owner = createPartitionOwner({
        partition,
        epoch: ++epochs,
        store,
        executorClient: memory,
        adviceClient: undefined,
        view: {
          configuration: () => world.configuration,
          layout: () => layout,
          requestLayout: () => undefined,
          executors: () => reports,
          hasExecutorList: () => true,
          executorsReadAtMs: now,
        },
        listMachines: () => Promise.resolve(undefined),
        leaseMs: 4_000,
        maxLeaseMs: 6_000,
        confirmedAtMs: now,
        undisputedAtMs: now,
        capOvershoot: 0.1,
        endedJobRetentionMs: 120_000,
        queryJob: () => Promise.resolve({ type: "unavailable" }),
        events,
        onLoadTimeout: () => undefined,
        onLost: () => undefined,
      });
      owners.set(partition, owner);
    },
    killOwner(partition) {
      owners.get(partition)?.close();
      owners.delete(partition);
    },
    startBroker() {
      broker = runCapBroker({
        epoch: ++epochs,
        caps: createOrganisationCaps(() => world.configuration),
        partitions: () => new Set([...layout.values()].flat()),
        isConfirmed: () => true,
        async send(partition, message) {
          if (world.cut.has(partition)) return undefined;
          return await Promise.resolve(
            owners.get(partition)?.applyLimits(message),
          );
        },
        events,
      });
    },
    killBroker() {
      broker?.close();
    },
    accept(id, { partition, step, organisation = NORTHWIND }) {
      const service = SERVICES[partition]!;
      store.put({ topic: JOBS_TOPIC, partition }, {
        key: id,
        value: JSON.stringify({
          ...createAccepted([step]),
          service,
          organisation,
        }),
      });
    },
    cancel: (id, partition) =>
      store.put({ topic: JOBS_TOPIC, partition }, {
        key: cancelKey(id),
        value: "{}",
      }),
    countRunning(partition) {
      let count = 0;
      for (const executor of world.executors.values()) {
        const { report, running } = executor;
        // One that is not reached ends its runs as its lease is over.
        if (executor.clockMs() > executor.leaseExpiryMs) continue;
        const service = partition === undefined
          ? report.service
          : SERVICES[partition];
        if (report.service === service) count += running.size;
      }
      return count;
    },
    close() {
      clearInterval(ticker);
      broker?.close();
      for (const owner of owners.values()) owner.close();
    },
  };
  for (const [index, service] of SERVICES.entries()) {
    for (const number of [1, 2]) {
      const report = createReport(`e${index}-${number}`, { service });
      reports.set(report.id, report);
      world.executors.set(report.id, memory.add(report, { stopMs: STOP_MS }));
    }
    world.startOwner(index);
  }
  const ticker = setInterval(() => {
    const cpu = 1_000 * world.countRunning();
    world.highestCpu = Math.max(world.highestCpu, cpu);
  }, TICK_MS);
  return world;
}
