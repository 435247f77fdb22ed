/**
 * Fixtures of the tests: executors and owners on a platform in memory.
 *
 * @module
 */

import { afterEach, beforeEach, jest } from "@jest/globals";
import {
  createMemoryExecutors,
  createMemoryStore,
  type MemoryExecutor,
  type MemoryExecutors,
  type MemoryStore,
} from "@lagoonloom/standins";
import {
  createAccepted,
  createConfiguration,
  createReport,
  PARTITION,
} from "./_record_fixtures.ts";
import type { Configuration, ExecutorReport, Machine } from "./fleet.ts";
import {
  createPartitionOwner,
  type PartitionOwner,
} from "./owned/partition_owner.ts";
import type { AdviceClient, Store, TopicPartition } from "./ports.ts";
import type { QueryResult } from "./queries/query_result.ts";
import type { JobState, Step } from "./submission.ts";
import { cancelKey, JOBS_TOPIC, PROGRESS_TOPIC } from "./topics.ts";

export * from "./_record_fixtures.ts";

/** Partition of the jobs that the owners of a fixture own. */
export const JOBS = { topic: JOBS_TOPIC, partition: PARTITION };

/** Leases of the executors of a fixture. */
export type Leases = {
  /** Duration of the leases that owners request. */
  leaseMs: number;
  /** Longest lease that executors grant. */
  maxLeaseMs: number;
};

/** Platform in memory, with owners of one partition. */
export type OwnerFixture = {
  store: MemoryStore;
  executors: MemoryExecutors;
  adviceClient: AdviceClient | undefined;
  reports: Map<string, ExecutorReport>;
  configuration: Configuration;
  /** Services that share the partition. */
  services: string[];
  /** Partitions of the other services, by name. */
  servicesElsewhere: Map<string, number>;
  /** Partition to which owners can't append. */
  unreachable: TopicPartition | undefined;
  /** Answer of the owners of other partitions to a query for a job. */
  stateElsewhere: QueryResult<JobState>;
  /** Whether the list of executors has been read. */
  hasExecutorList: boolean;
  /** Machines of the platform; undefined if their list gets no answer. */
  machines: Machine[] | undefined;
  /** Events that were logged, as `name {fields}`. */
  logged: string[];
  /** Reasons for which owners lost the partition, in order. */
  lossReasons: string[];
  /** Number of owners that could not load the partition in time. */
  loadTimeouts: number;
  /**
   * Monotonic time at which the store last confirmed the ownership; `now` means
   * that it does so all the time.
   */
  confirmedAtMs: "now" | number;
  /** Monotonic time at which the list of executors was last read, likewise. */
  executorsReadAtMs: "now" | number;
  addExecutor(
    id: string,
    fields?: Partial<ExecutorReport>,
  ): MemoryExecutor;
  /** Starts an owner and waits until it has polled its executors. */
  startOwner(epoch: number, partition?: number): Promise<PartitionOwner>;
  /** Accepts a job, by default for the service `quoting`. */
  accept(id: string, steps: Step[], service?: string): void;
  cancel(id: string): void;
  progress(): Map<string, string>;
  close(): void;
};

/**
 * Gives each test of a group fake timers and a platform in memory of its own,
 * and ends both after it.
 */
export function setUpOwners(
  onCreated: (fixture: OwnerFixture) => void,
  leases?: Leases,
): void {
  let fixture: OwnerFixture;

  beforeEach(() => {
    jest.useFakeTimers();
    fixture = createOwnerFixture(leases);
    onCreated(fixture);
  });

  afterEach(() => {
    fixture.close();
    jest.useRealTimers();
  });
}

/** Creates a platform in memory, for a test that uses fake timers. */
export function createOwnerFixture(
  { leaseMs, maxLeaseMs }: Leases = { leaseMs: 4_500, maxLeaseMs: 6_000 },
): OwnerFixture {
  const owners: PartitionOwner[] = [];
  const fixture: OwnerFixture = {
    store: createMemoryStore({ partitions: 8 }),
    executors: createMemoryExecutors({ maxLeaseMs }),
    adviceClient: undefined,
    reports: new Map(),
    configuration: createConfiguration(),
    services: ["quoting"],
    servicesElsewhere: new Map(),
    unreachable: undefined,
    stateElsewhere: { type: "unavailable" },
    hasExecutorList: true,
    machines: undefined,
    logged: [],
    lossReasons: [],
    loadTimeouts: 0,
    confirmedAtMs: "now",
    executorsReadAtMs: "now",
    addExecutor(id, fields) {
      const report = createReport(id, fields);
      fixture.reports.set(id, report);
      return fixture.executors.add(report);
    },
    async startOwner(epoch, partition = PARTITION) {
      const owner = createPartitionOwner({
        partition,
        epoch,
        store: createOwnerStore(fixture),
        executorClient: fixture.executors,
        adviceClient: fixture.adviceClient,
        view: {
          configuration: () => fixture.configuration,
          layout: () =>
            new Map([
              ...fixture.services.map((name) => [name, PARTITION] as const),
              ...fixture.servicesElsewhere,
            ].map(([name, partition]) => [name, [partition]])),
          requestLayout: () => undefined,
          executors: () => fixture.reports,
          hasExecutorList: () => fixture.hasExecutorList,
          executorsReadAtMs: () => timeOf(fixture.executorsReadAtMs),
        },
        listMachines: () => Promise.resolve(fixture.machines),
        leaseMs,
        maxLeaseMs,
        confirmedAtMs: () => timeOf(fixture.confirmedAtMs),
        undisputedAtMs: () => timeOf(fixture.confirmedAtMs),
        endedJobRetentionMs: 120_000,
        queryJob: () => Promise.resolve(fixture.stateElsewhere),
        events: {
          log: (name, fields) =>
            fixture.logged.push(`${name} ${JSON.stringify(fields)}`),
        },
        onLoadTimeout: () => fixture.loadTimeouts++,
        onLost: (reason) => fixture.lossReasons.push(reason),
      });
      owners.push(owner);
      await advanceTime(50);
      return owner;
    },
    accept: (id, steps, service = "quoting") =>
      fixture.store.put(JOBS, {
        key: id,
        value: JSON.stringify({ ...createAccepted(steps), service }),
      }),
    cancel: (id) =>
      fixture.store.put(JOBS, { key: cancelKey(id), value: "{}" }),
    progress: () =>
      fixture.store.readNewestValues({
        topic: PROGRESS_TOPIC,
        partition: PARTITION,
      }),
    close() {
      for (const owner of owners) owner.close();
    },
  };
  return fixture;
}

/** Creates the store of an owner, which one partition may refuse. */
function createOwnerStore(fixture: OwnerFixture): Store {
  const { store } = fixture;
  return {
    ...store,
    append: (target, options) =>
      target.topic === fixture.unreachable?.topic &&
        target.partition === fixture.unreachable.partition
        ? Promise.resolve({
          type: "refused",
          reason: "status 503",
          retryAfterMs: 500,
        })
        : store.append(target, options),
  };
}

function timeOf(time: "now" | number): number {
  return time === "now" ? performance.now() : time;
}

/** Advances the fake timers by a time in milliseconds. */
export async function advanceTime(ms: number): Promise<void> {
  await jest.advanceTimersByTimeAsync(ms);
}
