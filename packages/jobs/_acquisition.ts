/**
 * Creates the owners of the partitions that are assigned to a member.
 *
 * @module
 */

import type { ExecutorReport } from "./fleet.ts";
import { createReportCollector } from "./machines/collect_reports.ts";
import { createMachinesOwner } from "./machines/machines_owner.ts";
import type { MemberOptions, PlatformState } from "./member_options.ts";
import {
  createOrganisationCaps,
  type OrganisationCaps,
} from "./organisations/caps/organisation_caps.ts";
import { runCapBroker } from "./organisations/caps/run_cap_broker.ts";
import { sendLimits } from "./organisations/caps/send_limits.ts";
import {
  type Layout,
  machinesPartition,
  servicePartitions,
} from "./owned/layout.ts";
import { ADMISSION_GRACE_MS } from "./owned/owner_state.ts";
import type { OwnedPartition, Ownership } from "./owned/ownership.ts";
import {
  createPartitionOwner,
  type PartitionOwner,
} from "./owned/partition_owner.ts";
import type { Store } from "./ports.ts";
import { type OwnerAccess, queryJobState } from "./queries/query_owner.ts";

/** Longest time to store pending changes when a partition is given up. */
const RELEASE_TIMEOUT_MS = 1_000;

/** Duration of an executor's lease, if the platform allows as much. */
const MAX_LEASE_MS = 4_000;

/** Largest share of the platform's longest lease that is used. */
const MAX_LEASE_SHARE = 0.9;

/** Longest wait for the owner of another partition. */
const OWNER_TIMEOUT_MS = 1_000;

/** Processor time of an executor while none is known: 16 cores. */
const DEFAULT_EXECUTOR_CPU = 16_000;

/**
 * Returns the function that creates the owner of a partition of jobs, or of the
 * machines, when it is assigned to this member.
 */
export function createAcquisition(
  options: MemberOptions,
  {
    owners,
    platform,
    store,
    access,
    layout,
    requestLayout,
    ownership,
    caps = createOrganisationCaps(platform.configuration),
  }: {
    /** Owners of partitions of jobs; changed as they come and go. */
    owners: Map<number, PartitionOwner>;
    platform: PlatformState;
    store: Store;
    access: OwnerAccess;
    layout(): Layout;
    requestLayout(): void;
    ownership(): Ownership;
    /** Caps of organisations; by default those of the configuration. */
    caps?: OrganisationCaps;
  },
): (partition: number, epoch: number) => OwnedPartition {
  const { events } = options;
  const { directory } = access;
  const leaseMs = Math.min(MAX_LEASE_MS, MAX_LEASE_SHARE * options.maxLeaseMs);
  let ownsMachines = false;

  const acquireMachines = (partition: number, epoch: number) => {
    ownsMachines = true;
    platform.followExecutors(true);
    const isConfirmed = () =>
      performance.now() - ownership().confirmedAtMs(partition) <
        ADMISSION_GRACE_MS;
    const capBroker = runCapBroker({
      epoch,
      caps,
      partitions: () => servicePartitions(layout()),
      isConfirmed,
      send: (to, message) =>
        sendLimits(access, { partition: to, message, maySend: isConfirmed }),
      events,
    });
    const reports = createReportCollector(access);
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
      confirmedAtMs: () => ownership().confirmedAtMs(partition),
      collectReports: (reserved, ended) =>
        reports.collect({ layout: layout(), reserved, ended }),
      onLost(reason) {
        events.log("partitionLost", { partition, epoch, reason });
        ownsMachines = false;
        capBroker.close();
        ownership().drop(partition);
      },
    });
    return {
      epoch,
      async release() {
        ownsMachines = false;
        capBroker.close();
        await owner.release();
      },
    };
  };

  const acquirePartition = (partition: number, epoch: number) => {
    platform.followExecutors(true);
    const owner = createPartitionOwner({
      partition,
      epoch,
      store,
      executorClient: options.executorClient,
      adviceClient: options.adviceClient,
      view: {
        configuration: platform.configuration,
        layout,
        requestLayout,
        executors: platform.executors,
        hasExecutorList: platform.hasExecutorList,
        executorsReadAtMs: platform.executorsReadAtMs,
      },
      listMachines: options.machineClient.list,
      leaseMs,
      maxLeaseMs: options.maxLeaseMs,
      confirmedAtMs: () => ownership().confirmedAtMs(partition),
      undisputedAtMs: () => ownership().undisputedAtMs(partition),
      caps,
      capOvershoot: options.capOvershoot ?? 0,
      endedJobRetentionMs: options.endedJobRetentionMs,
      queryJob: (other, job) =>
        queryJobState(access, {
          partition: other,
          job,
          caller: {},
          timeoutMs: OWNER_TIMEOUT_MS,
        }),
      reservesRoom: options.reservesRoom,
      events,
      onLoadTimeout: () => ownership().giveWay(),
      onLost(reason) {
        events.log("partitionLost", { partition, epoch, reason });
        owners.delete(partition);
        ownership().drop(partition);
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
  };

  return (partition, epoch) =>
    partition === machinesPartition(options.partitionCount)
      ? acquireMachines(partition, epoch)
      : acquirePartition(partition, epoch);
}

/** Returns the median capacity of executors, in thousandths of a core. */
function medianExecutorCpu(
  executors: ReadonlyMap<string, ExecutorReport>,
): number {
  const sizes = [...executors.values()].map(({ capacity }) => capacity.cpu)
    .sort((a, b) => a - b);
  return sizes[sizes.length >> 1] ?? DEFAULT_EXECUTOR_CPU;
}
