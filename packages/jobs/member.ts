/**
 * Member of the system: accepts jobs, owns partitions of them, and calls the
 * other members for the rest.
 *
 * @module
 */

import {
  createOwnerClient,
  createOwnerServer,
  type OwnerClient,
} from "@lagoonloom/peers";
import {
  acceptJob,
  cancelJob,
  type JobRecord,
  type RecordOutcome,
} from "./accepted/accept_job.ts";
import { createStoreMonitor } from "./accepted/store_monitor.ts";
import { createRelayMonitor } from "./accepted/relay_monitor.ts";
import { relayRecord } from "./accepted/relay_record.ts";
import type {
  Configuration,
  ExecutorReport,
  Queue,
  UpkeepWave,
} from "./fleet.ts";
import type { JobEventLog } from "./job_event_log.ts";
import {
  type Layout,
  machinesPartition,
  partitionOf,
  planLayout,
  readLayout,
  storeLayout,
} from "./owned/layout.ts";
import { collectReports } from "./machines/collect_reports.ts";
import { createMachinesOwner } from "./machines/machines_owner.ts";
import { createOwnerHandlers } from "./owner_handlers.ts";
import { createCandidacy } from "./owned/candidacy.ts";
import { formatMemberName, type MemberCapacity } from "./owned/member_name.ts";
import { createOwnerDirectory } from "./owned/owner_directory.ts";
import { joinOwners, type Ownership } from "./owned/ownership.ts";
import {
  createPartitionOwner,
  type PartitionOwner,
} from "./owned/partition_owner.ts";
import type {
  AdviceClient,
  ExecutorClient,
  MachineClient,
  Store,
} from "./ports.ts";
import {
  type OwnerAccess,
  queryJobState,
  queryPendingCount,
} from "./queries/query_owner.ts";
import type { QueryResult } from "./queries/query_result.ts";
import type { JobState, Submission } from "./submission.ts";
import { JOBS_TOPIC } from "./topics.ts";

/** Interval of the check for services without partitions. */
const LAYOUT_CHECK_INTERVAL_MS = 250;

/** Longest time to store pending changes when a partition is given up. */
const RELEASE_TIMEOUT_MS = 1_000;

/** Duration of an executor's lease, if the platform allows as much. */
const MAX_LEASE_MS = 4_000;

/** Largest share of the platform's longest lease that is used. */
const MAX_LEASE_SHARE = 0.9;

/** Processor time of an executor while none is known: 16 cores. */
const DEFAULT_EXECUTOR_CPU = 16_000;

/** Configuration, executors and waves of upkeep, as this member read them. */
export type PlatformState = {
  configuration(): Configuration | undefined;
  executors(): ReadonlyMap<string, ExecutorReport>;
  /** Whether the list of executors has been read since it was last needed. */
  hasExecutorList(): boolean;
  waves(): readonly UpkeepWave[];
  /** Monotonic time of the store's last answer about the configuration. */
  readAtMs(): number;
  /** Starts or stops following the list of executors. */
  followExecutors(isNeeded: boolean): void;
};

/** Options of {@linkcode startMember}. */
export type MemberOptions = {
  /** Name under which this process holds the lease on the machines. */
  name: string;
  peer: { host: string; port: number };
  /** What this member's machine can carry. */
  capacity: MemberCapacity;
  store: Store;
  executorClient: ExecutorClient;
  machineClient: MachineClient;
  adviceClient: AdviceClient | undefined;
  events: JobEventLog;
  partitionCount: number;
  /** Longest lease that the platform grants. */
  maxLeaseMs: number;
  /** Time for which callers can ask for the state of an ended job. */
  endedJobRetentionMs: number;
  /** Starts to follow the platform; calls `onChange` after each change. */
  followPlatform(onChange: () => void): PlatformState;
};

/** Process that accepts jobs and owns some of their partitions. */
export type Member = {
  platform: PlatformState;
  /** Whether requests can be served, with a configuration and the store. */
  isReady(): boolean;
  accept(
    id: string,
    options: { submission: Submission; queue: Queue; timeoutMs: number },
  ): Promise<RecordOutcome>;
  cancel(
    id: string,
    options: { queue: Queue; timeoutMs: number },
  ): Promise<RecordOutcome>;
  getJobState(
    id: string,
    options: { queue: Queue; timeoutMs: number },
  ): Promise<QueryResult<JobState>>;
  /** Counts the accepted jobs of a queue that have not started. */
  countPending(queue: Queue, timeoutMs: number): Promise<QueryResult<number>>;
  /** Gives up all partitions, so that other members take them over at once. */
  leave(): Promise<void>;
  close(): Promise<void>;
};

/**
 * Starts a member: follows the platform, joins the group of partition owners
 * and serves the calls of other members.
 *
 * @example
 * ```ts
 * const member = await startMember(options);
 * ```
 */
export async function startMember(options: MemberOptions): Promise<Member> {
  const { events } = options;
  const owners = new Map<number, PartitionOwner>();
  const clients = new Map<string, OwnerClient>();
  let layout: Layout = new Map();
  let isClosed = false;
  let ownsMachines = false;

  const platform = options.followPlatform(() => {
    for (const owner of owners.values()) owner.refresh();
  });

  const { store, isUnreachable, mayAppend } = createStoreMonitor(
    options.store,
    platform.readAtMs,
  );
  const leaseMs = Math.min(MAX_LEASE_MS, MAX_LEASE_SHARE * options.maxLeaseMs);
  const server = await createOwnerServer(
    createOwnerHandlers(owners, {
      store,
      isStoreReached: () => !isUnreachable(),
    }),
    options.peer,
  );
  const directory = createOwnerDirectory(store);

  const access: OwnerAccess = {
    localOwner: (partition) => owners.get(partition),
    directory,
    ownAddress: server.address,
    client(address) {
      let client = clients.get(address);
      if (client === undefined) {
        client = createOwnerClient(address, {
          onFailure: (reason) => events.log("ownerSilent", { address, reason }),
        });
        clients.set(address, client);
      }
      return client;
    },
  };

  const acquireMachines = (partition: number, epoch: number) => {
    ownsMachines = true;
    platform.followExecutors(true);
    const owner = createMachinesOwner({
      partition,
      epoch,
      holder: options.name,
      store,
      machines: options.machineClient,
      events,
      configuration: platform.configuration,
      waves: platform.waves,
      typicalMachineCpu: () => medianExecutorCpu(platform.executors()),
      confirmedAtMs: () => ownership.confirmedAtMs(),
      collectReports: (reserved, ended) =>
        collectReports(access, { layout, reserved, ended }),
      onLost(reason) {
        events.log("partitionLost", { partition, epoch, reason });
        ownsMachines = false;
        ownership.drop(partition);
      },
    });
    return {
      epoch,
      async release() {
        ownsMachines = false;
        await owner.release();
      },
    };
  };

  const ownership: Ownership = joinOwners({
    store,
    events,
    createMemberName: () =>
      formatMemberName(
        { address: server.address, capacity: options.capacity },
        String(Date.now()),
      ),
    candidacy: createCandidacy({
      capacity: options.capacity,
      usedPartitionCount: () => [...layout.values()].flat().length + 1,
      readMembers: directory.readMembers,
    }),
    isUsed: (partition) => isUsed(layout, partition, options.partitionCount),
    acquire(partition, epoch) {
      if (partition === machinesPartition(options.partitionCount)) {
        return acquireMachines(partition, epoch);
      }
      platform.followExecutors(true);
      const owner = createPartitionOwner({
        partition,
        epoch,
        store,
        executorClient: options.executorClient,
        adviceClient: options.adviceClient,
        view: {
          configuration: platform.configuration,
          layout: () => layout,
          executors: platform.executors,
          hasExecutorList: platform.hasExecutorList,
        },
        listMachines: options.machineClient.list,
        leaseMs,
        maxLeaseMs: options.maxLeaseMs,
        confirmedAtMs: () => ownership.confirmedAtMs(),
        endedJobRetentionMs: options.endedJobRetentionMs,
        events,
        onLoadTimeout: () => ownership.giveWay(),
        onLost(reason) {
          events.log("partitionLost", { partition, epoch, reason });
          owners.delete(partition);
          ownership.drop(partition);
          directory.invalidate();
        },
      });
      owners.set(partition, owner);
      return {
        epoch,
        async release() {
          await owner.release(RELEASE_TIMEOUT_MS);
          owners.delete(partition);
          directory.invalidate();
          platform.followExecutors(owners.size > 0 || ownsMachines);
        },
      };
    },
  });

  /** Gives partitions to services that have none yet. */
  const extendLayout = async () => {
    const configuration = platform.configuration();
    if (configuration === undefined) return;
    const isComplete = configuration.services.every(({ name }) =>
      layout.has(name)
    );
    if (isComplete) return;
    const stored = await readLayout(store);
    if (stored === undefined) return;
    layout = stored.layout;
    if (configuration.services.every(({ name }) => layout.has(name))) {
      for (const owner of owners.values()) owner.refresh();
      return;
    }
    await storeLayout(store, {
      layout: planLayout(layout, {
        services: configuration.services.map(({ name }) => name),
        partitionCount: options.partitionCount,
      }),
      nextOffset: stored.nextOffset,
    });
  };

  const watchLayout = async () => {
    while (!isClosed) {
      await extendLayout();
      await new Promise((resolve) =>
        setTimeout(resolve, LAYOUT_CHECK_INTERVAL_MS)
      );
    }
  };
  void watchLayout();

  const relayMonitor = createRelayMonitor({
    isStoreUnreachable: isUnreachable,
    otherMembers: () =>
      directory.members().map(({ address }) => address)
        .filter((address) => address !== server.address),
    async reach(address, timeoutMs) {
      const answer = await access.client(address).reach(timeoutMs);
      return answer?.isStoreReached;
    },
  });

  const appendOptions = () => ({
    store,
    layout,
    mayAppend: (partition: number) =>
      !isUnreachable() && mayAppend({ topic: JOBS_TOPIC, partition }),
    relay: (
      record: JobRecord & { partition: number },
      deadlineMs: number,
    ) =>
      relayRecord(access, record, {
        addresses: relayMonitor.reachableAddresses(),
        deadlineMs,
      }),
  });

  const partitionOfJob = (queue: Queue, id: string) =>
    partitionOf(layout, { service: queue.service, key: id });

  return {
    platform,
    isReady: () =>
      platform.configuration() !== undefined && layout.size > 0 &&
      !isUnreachable(),
    accept: (id, { submission, queue, timeoutMs }) =>
      acceptJob(id, submission, { ...appendOptions(), queue, timeoutMs }),
    cancel: (id, { queue, timeoutMs }) =>
      cancelJob(id, { ...appendOptions(), queue, timeoutMs }),
    async getJobState(id, { queue, timeoutMs }) {
      const partition = partitionOfJob(queue, id);
      if (partition === undefined) return { type: "unavailable" };
      return await queryJobState(access, { partition, job: id, timeoutMs });
    },
    async countPending(queue, timeoutMs) {
      const partitions = layout.get(queue.service) ?? [];
      const counts = await Promise.all(
        partitions.map((partition) =>
          queryPendingCount(access, { partition, queue: queue.name, timeoutMs })
        ),
      );
      let sum = 0;
      for (const count of counts) {
        if (count.type !== "known") return { type: "unavailable" };
        sum += count.value;
      }
      return { type: "known", value: sum };
    },
    leave: () => ownership.leave(),
    async close() {
      isClosed = true;
      relayMonitor.close();
      for (const client of clients.values()) client.close();
      await server.close();
    },
  };
}

/** Returns whether any jobs or machines belong to a partition. */
function isUsed(
  layout: Layout,
  partition: number,
  partitionCount: number,
): boolean {
  if (partition === machinesPartition(partitionCount)) return layout.size > 0;
  for (const used of layout.values()) if (used.includes(partition)) return true;
  return false;
}

/** Returns the median capacity of executors, in thousandths of a core. */
function medianExecutorCpu(
  executors: ReadonlyMap<string, ExecutorReport>,
): number {
  const sizes = [...executors.values()].map(({ capacity }) => capacity.cpu)
    .sort((a, b) => a - b);
  return sizes[sizes.length >> 1] ?? DEFAULT_EXECUTOR_CPU;
}
