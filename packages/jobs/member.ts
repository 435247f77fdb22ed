import {
  createOwnerClient,
  createOwnerServer,
  type OwnerClient,
} from "@lagoonloom/peers";
import {
  acceptJob,
  cancelJob,
  type KeyedValue,
  type RecordOutcome,
} from "./accepted/accept_job.ts";
import { createRelays } from "./accepted/relays.ts";
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
import { createOwnerDirectory, memberName } from "./owned/owner_directory.ts";
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
import { countPending, type OwnerAccess, showJob } from "./shown/ask_owner.ts";
import type { Shown } from "./shown/shown.ts";
import type { JobState, Submission } from "./submission.ts";

/** Period of the checks of the layout. */
const LAYOUT_INTERVAL_MS = 250;

/** Time that stored changes get when a partition is given up. */
const RELEASE_TIMEOUT_MS = 1_000;

/** Longest lease of an executor, if the platform allows as much. */
const LEASE_MS = 4_000;

/** Part of the platform's longest lease that is used at most. */
const LEASE_SHARE = 0.9;

/** Silence of the store after which it counts as away. */
const MAX_SILENCE_MS = 1_800;

/** Failed reads in a row after which the store counts as away. */
const MAX_FAILED_READS = 2;

/** Processor time of a machine while none is known. */
const DEFAULT_MACHINE_CPU = 16_000;

/** State of the platform as this member last read it. */
export type PlatformState = {
  configuration(): Configuration | undefined;
  executors(): ReadonlyMap<string, ExecutorReport>;
  /** Whether the list of executors has been read once. */
  hasExecutorList(): boolean;
  waves(): readonly UpkeepWave[];
  /** Steady time of the store's last answer about the configuration. */
  readAtMs(): number;
  /** Reads of the configuration without an answer since the last answer. */
  failedReads(): number;
  /** Tells whether the list of executors is needed here. */
  followExecutors(isNeeded: boolean): void;
};

/** Options of {@linkcode startMember}. */
export type MemberOptions = {
  /** Name of this process for its leases of machines. */
  name: string;
  peer: { host: string; port: number };
  store: Store;
  executorClient: ExecutorClient;
  machineClient: MachineClient;
  adviceClient: AdviceClient | undefined;
  events: JobEventLog;
  partitions: number;
  maxLeaseMs: number;
  endedJobRetentionMs: number;
  /** Opens the view of the platform; `onChange` follows each change. */
  followPlatform(onChange: () => void): PlatformState;
};

/** Process that accepts jobs and owns some partitions of them. */
export type Member = {
  platform: PlatformState;
  /** Whether requests can be served. */
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
  ): Promise<Shown<JobState>>;
  /** Accepted jobs of a queue that have not begun. */
  countPending(queue: Queue, timeoutMs: number): Promise<Shown<number>>;
  /** Gives all partitions up, so that others go on with them at once. */
  leave(): Promise<void>;
  close(): Promise<void>;
};

/**
 * Starts the part of a process that acts together with the others: it follows
 * the platform, joins the owners and serves the calls of other members.
 *
 * @example
 * ```ts
 * const member = await startMember(options);
 * ```
 */
export async function startMember(options: MemberOptions): Promise<Member> {
  const { store, events } = options;
  const owners = new Map<number, PartitionOwner>();
  const clients = new Map<string, OwnerClient>();
  let layout: Layout = new Map();
  let isClosed = false;
  let ownsMachines = false;

  const world = options.followPlatform(() => {
    for (const owner of owners.values()) owner.refresh();
  });

  const leaseMs = Math.min(LEASE_MS, LEASE_SHARE * options.maxLeaseMs);
  const server = await createOwnerServer(
    createOwnerHandlers(owners, {
      store,
      isStoreReached: () => !isStoreAway(),
    }),
    options.peer,
  );
  const directory = createOwnerDirectory(store);

  const access: OwnerAccess = {
    local: (partition) => owners.get(partition),
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
    world.followExecutors(true);
    const owner = createMachinesOwner({
      partition,
      epoch,
      holder: options.name,
      store,
      machines: options.machineClient,
      events,
      configuration: world.configuration,
      waves: world.waves,
      machineCpu: () => medianExecutorCpu(world.executors()),
      confirmedAtMs: () => ownership.confirmedAtMs(),
      collect: (reserved, ended) =>
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
    member: memberName(server.address, String(Date.now())),
    isUsed: (partition) => isUsed(layout, partition, options.partitions),
    acquire(partition, epoch) {
      if (partition === machinesPartition(options.partitions)) {
        return acquireMachines(partition, epoch);
      }
      world.followExecutors(true);
      const owner = createPartitionOwner({
        partition,
        epoch,
        store,
        executorClient: options.executorClient,
        adviceClient: options.adviceClient,
        view: {
          configuration: world.configuration,
          layout: () => layout,
          executors: world.executors,
          hasExecutorList: world.hasExecutorList,
        },
        leaseMs,
        confirmedAtMs: () => ownership.confirmedAtMs(),
        endedJobRetentionMs: options.endedJobRetentionMs,
        events,
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
          world.followExecutors(owners.size > 0 || ownsMachines);
        },
      };
    },
  });

  const updateLayout = async () => {
    const configuration = world.configuration();
    if (configuration === undefined) return;
    const isWhole = configuration.services.every(({ name }) =>
      layout.has(name)
    );
    if (isWhole) return;
    const stored = await readLayout(store);
    if (stored === undefined) return;
    layout = stored.layout;
    if (configuration.services.every(({ name }) => layout.has(name))) {
      for (const owner of owners.values()) owner.refresh();
      return;
    }
    world.followExecutors(true);
    if (!world.hasExecutorList()) return;
    await storeLayout(store, {
      layout: planLayout(layout, {
        sizes: countExecutors(configuration, world.executors()),
        partitions: options.partitions,
      }),
      end: stored.end,
    });
  };

  const watchLayout = async () => {
    while (!isClosed) {
      await updateLayout();
      await new Promise((resolve) => setTimeout(resolve, LAYOUT_INTERVAL_MS));
    }
  };
  void watchLayout();

  const isStoreAway = () =>
    world.failedReads() >= MAX_FAILED_READS ||
    performance.now() - world.readAtMs() >= MAX_SILENCE_MS;

  const relays = createRelays({
    isStoreAway,
    others: () =>
      directory.members().filter((address) => address !== server.address),
    async reach(address, timeoutMs) {
      const answer = await access.client(address).reach(timeoutMs);
      return answer?.isStoreReached;
    },
  });

  const recordOptions = () => ({
    store,
    layout,
    isStoreAway,
    relay: (
      record: KeyedValue & { partition: number },
      endMs: number,
    ) => relayRecord(access, record, { addresses: relays.reachable(), endMs }),
  });

  const partitionOfJob = (queue: Queue, id: string) =>
    partitionOf(layout, { service: queue.service, key: id });

  return {
    platform: world,
    isReady: () =>
      world.configuration() !== undefined && layout.size > 0 &&
      !isStoreAway(),
    accept: (id, { submission, queue, timeoutMs }) =>
      acceptJob(id, submission, { ...recordOptions(), queue, timeoutMs }),
    cancel: (id, { queue, timeoutMs }) =>
      cancelJob(id, { ...recordOptions(), queue, timeoutMs }),
    async getJobState(id, { queue, timeoutMs }) {
      const partition = partitionOfJob(queue, id);
      if (partition === undefined) return { type: "unavailable" };
      return await showJob(access, { partition, job: id, timeoutMs });
    },
    async countPending(queue, timeoutMs) {
      const partitions = layout.get(queue.service) ?? [];
      const counts = await Promise.all(
        partitions.map((partition) =>
          countPending(access, { partition, queue: queue.name, timeoutMs })
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
      relays.close();
      for (const client of clients.values()) client.close();
      await server.close();
    },
  };
}

function isUsed(
  layout: Layout,
  partition: number,
  partitions: number,
): boolean {
  if (partition === machinesPartition(partitions)) return layout.size > 0;
  for (const own of layout.values()) if (own.includes(partition)) return true;
  return false;
}

/** Returns the processor time of most executors, in thousandths of a core. */
function medianExecutorCpu(
  executors: ReadonlyMap<string, ExecutorReport>,
): number {
  const sizes = [...executors.values()].map(({ capacity }) => capacity.cpu)
    .sort((a, b) => a - b);
  return sizes[sizes.length >> 1] ?? DEFAULT_MACHINE_CPU;
}

function countExecutors(
  configuration: Configuration,
  executors: ReadonlyMap<string, ExecutorReport>,
): Map<string, number> {
  const sizes = new Map(configuration.services.map(({ name }) => [name, 0]));
  for (const { service } of executors.values()) {
    const count = sizes.get(service);
    if (count !== undefined) sizes.set(service, count + 1);
  }
  return sizes;
}
