/**
 * Member of the system: accepts jobs, owns partitions of them, and calls the
 * other members for the rest.
 *
 * @module
 */

import { createOwnerServer } from "@lagoonloom/peers";
import {
  acceptJob,
  cancelJob,
  type JobRecord,
  type RecordOutcome,
} from "./accepted/accept_job.ts";
import {
  type BeyondWeightOutcome,
  refuseBeyondWeight,
} from "./accepted/refuse_beyond_weight.ts";
import { createQueueServices } from "./accepted/queue_services.ts";
import { createStoreMonitor } from "./accepted/store_monitor.ts";
import { createRelayMonitor } from "./accepted/relay_monitor.ts";
import { relayRecord } from "./accepted/relay_record.ts";
import { createAcquisition } from "./_acquisition.ts";
import { createLayoutWatch } from "./_layout_watch.ts";
import { createOwnerAccess } from "./_owner_access.ts";
import type { Queue } from "./fleet.ts";
import type { MemberOptions, PlatformState } from "./member_options.ts";
import { createAdmissionView } from "./organisations/shares/admission_view.ts";
import {
  authorizeCall,
  type CallDecision,
} from "./organisations/keys/authorize_call.ts";
import { createConfigurationRefresh } from "./organisations/keys/configuration_refresh.ts";
import { callerOf } from "./organisations/keys/job_access.ts";
import { startMemberExchange } from "./organisations/keys/member_exchange.ts";
import { createOrganisationCaps } from "./organisations/caps/organisation_caps.ts";
import {
  type OrganisationUse,
  sumOrganisationUse,
} from "./organisations/caps/read_organisation_use.ts";
import { createCandidacy } from "./owned/candidacy.ts";
import {
  type Layout,
  machinesPartition,
  partitionOf,
  servicePartitions,
} from "./owned/layout.ts";
import { formatMemberName } from "./owned/member_name.ts";
import { joinOwners, type Ownership } from "./owned/ownership.ts";
import type { PartitionOwner } from "./owned/partition_owner.ts";
import { createOwnerHandlers } from "./owner_handlers.ts";
import { findJobState, queryPendingCount } from "./queries/query_owner.ts";
import type { QueryResult } from "./queries/query_result.ts";
import { createReachability } from "./reachability/reachability.ts";
import type { JobState, Submission } from "./submission.ts";
import { JOBS_TOPIC } from "./topics.ts";

/** Options of calls about a job. */
export type CallOptions = {
  queue: Queue;
  /** Organisation of the caller; undefined if its calls need no key. */
  organisation?: string | undefined;
  timeoutMs: number;
};

/** Process that accepts jobs and owns some of their partitions. */
export type Member = {
  platform: PlatformState;
  /** Whether requests can be served, with a configuration and the store. */
  isReady(): boolean;
  /**
   * Decides whether a call to a queue is served. The configuration that decides
   * is the one at hand, so that the call must have been read before.
   */
  authorize(queue: Queue, key: string): CallDecision;
  /**
   * Reads the configuration for a call that would be refused, if this member
   * may be behind. Returns whether the call should be decided anew.
   */
  refreshConfiguration(): Promise<boolean>;
  accept(
    id: string,
    options: CallOptions & { submission: Submission },
  ): Promise<RecordOutcome | BeyondWeightOutcome>;
  cancel(id: string, options: CallOptions): Promise<RecordOutcome>;
  getJobState(
    id: string,
    options: CallOptions,
  ): Promise<QueryResult<JobState>>;
  /** Counts the accepted jobs of a queue that have not started. */
  countPending(queue: Queue, timeoutMs: number): Promise<QueryResult<number>>;
  /** Returns what the organisations with caps use at the owners here. */
  organisationUse(): ReadonlyMap<string, OrganisationUse>;
  /** Returns how many calls of other members were served, by call. */
  servedCalls(): ReadonlyMap<string, number>;
  /** Gives up all partitions, so that other members take them over at once. */
  leave(): Promise<void>;
  close(): Promise<void>;
};

/** Retry delay for callers while the home of their queue can't be read. */
const HOME_RETRY_AFTER_MS = 500;

/** Home of a queue, or the outcome of a call that needs it. */
type FoundHome = { type: "found"; home: string } | RecordOutcome;

/** Answer while neither this member knows the home of a queue nor the store. */
const HOME_UNKNOWN: RecordOutcome = {
  type: "refused",
  retryAfterMs: HOME_RETRY_AFTER_MS,
  reason: "the home of the queue is not known, and the store is unreachable",
};

/** Stands for the configuration before one is known, which names no queue. */
const NO_ORGANISATIONS = { organisations: [] };

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
  const servedCalls = new Map<string, number>();

  const caps = createOrganisationCaps(() => platform.configuration());
  const refreshOwners = () => {
    // A later broker has to know the caps under which earlier ones lent.
    caps.all();
    for (const owner of owners.values()) owner.refresh();
  };
  const platform: PlatformState = options.followPlatform(refreshOwners);

  const { store, isUnreachable, mayAppend } = createStoreMonitor(
    options.store,
    platform.readAtMs,
  );
  const server = await createOwnerServer(
    createOwnerHandlers(owners, {
      store,
      held: platform.held,
      isStoreReached: () => !isUnreachable(),
    }),
    {
      ...options.peer,
      onServed: (call) =>
        servedCalls.set(call, (servedCalls.get(call) ?? 0) + 1),
    },
  );
  const queueServices = createQueueServices({ store, events });

  const admission = createAdmissionView();
  const access = createOwnerAccess({
    owners,
    store,
    layout: () => layout(),
    events,
    ownAddress: server.address,
    noteFullServices: admission.note,
    observer: {
      noteAnswer: (address) => reachability.noteAnswer(address),
      noteFailure: (address, call) => reachability.noteFailure(address, call),
    },
  });
  const { directory } = access;

  const reachability = createReachability({
    store,
    events,
    ownAddress: server.address,
    directory,
    isInGroup: () => ownership.isInGroup(),
    async reach(address, timeoutMs) {
      return await access.client(address).reach(timeoutMs) !== undefined;
    },
  });

  const layoutWatch = createLayoutWatch({
    store,
    partitionCount: options.partitionCount,
    configuration: platform.configuration,
    onComplete: refreshOwners,
  });
  const { layout, request: requestLayout } = layoutWatch;

  const acquire = createAcquisition(options, {
    owners,
    platform,
    store,
    access,
    layout,
    requestLayout,
    ownership: () => ownership,
    caps,
  });

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
      usedPartitionCount: () => servicePartitions(layout()).size + 1,
      readMembers: directory.readMembers,
    }),
    isUsed: (partition) => isUsed(layout(), partition, options.partitionCount),
    acquire,
    mayOwn: reachability.mayOwn,
  });

  layoutWatch.start();

  const otherMembers = () =>
    directory.members().map(({ address }) => address)
      .filter((address) => address !== server.address);

  const relayMonitor = createRelayMonitor({
    isStoreUnreachable: isUnreachable,
    otherMembers,
    async reach(address, timeoutMs) {
      const answer = await access.client(address).reach(timeoutMs);
      return answer?.isStoreReached;
    },
  });

  const { maxRevocationMs } = options;
  const exchange = startMemberExchange(platform.held, {
    access,
    otherMembers,
    maxRevocationMs,
    events,
    onChange: refreshOwners,
  });

  const appendOptions = () => ({
    store,
    layout: layout(),
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

  /** Returns the partitions in which jobs with an id of a queue may be. */
  const partitionsOf = (services: readonly string[], id: string) => {
    const partitions = services
      .map((service) => partitionOf(layout(), { service, key: id }))
      .filter((partition) => partition !== undefined);
    return [...new Set(partitions)];
  };

  /**
   * Makes sure that the home of a queue is known. It can't be read or stored
   * while the store is unreachable.
   */
  const findHome = async (queue: Queue): Promise<FoundHome> => {
    const known = queueServices.homeOf(queue);
    if (known === undefined && isUnreachable()) return HOME_UNKNOWN;
    const recorded = await queueServices.record(queue);
    if (recorded.type !== "stored") return recorded;
    return { type: "found", home: queueServices.homeOf(queue)! };
  };

  const { servicesOf } = queueServices;

  const toCaller = (options: CallOptions) =>
    callerOf(platform.configuration(), options);

  /** Returns whether this member knows that others use the id of a job. */
  const isForeign = (id: string, options: CallOptions) =>
    partitionsOf(servicesOf(options.queue), id).some((partition) =>
      owners.get(partition)?.isForeign(id, toCaller(options))
    );

  const accept: Member["accept"] = async (id, options) => {
    const { submission, queue, organisation, timeoutMs } = options;
    if (isForeign(id, options)) {
      const reason = "the id is in use by another organisation";
      return { type: "refused", retryAfterMs: 0, reason };
    }
    const deadlineMs = performance.now() + timeoutMs;
    const found = await findHome(queue);
    if (found.type !== "found") return found;
    const { home } = found;
    const leftMs = () => Math.max(0, deadlineMs - performance.now());
    const { service } = queue;
    // The owner of the service tells whether it is full.
    const partitions = partitionsOf([service, home], id);
    const job = { partition: partitions[0], service, organisation };
    const refusal = await refuseBeyondWeight(job, {
      view: admission,
      findJob: (maxMs) =>
        findJobState(access, {
          partitions,
          job: id,
          caller: toCaller(options),
          timeoutMs: Math.min(maxMs, leftMs()),
        }),
    });
    if (refusal !== undefined) return refusal;
    return await acceptJob(id, submission, {
      ...appendOptions(),
      queue,
      home,
      organisation,
      timeoutMs: leftMs(),
    });
  };

  const getJobState: Member["getJobState"] = async (id, options) => {
    const { queue, timeoutMs } = options;
    const deadlineMs = performance.now() + timeoutMs;
    const isHomeKnown = queueServices.homeOf(queue) !== undefined;
    const partitions = partitionsOf(servicesOf(queue), id);
    if (partitions.length === 0) return { type: "unavailable" };
    const query = { job: id, caller: toCaller(options), timeoutMs };
    const found = await findJobState(access, { ...query, partitions });
    // The owner of the home knows all jobs of the queue.
    if (found.type !== "missing" || isHomeKnown) return found;
    if (!await queueServices.refresh()) return { type: "unavailable" };
    return await findJobState(access, {
      ...query,
      partitions: partitionsOf(servicesOf(queue), id)
        .filter((partition) => !partitions.includes(partition)),
      timeoutMs: Math.max(0, deadlineMs - performance.now()),
    });
  };

  const cancel: Member["cancel"] = async (id, options) => {
    const { queue, timeoutMs } = options;
    const deadlineMs = performance.now() + timeoutMs;
    const found = await findHome(queue);
    if (found.type !== "found") return found;
    return await cancelJob(id, {
      ...appendOptions(),
      // The owner of the home hands it on to any other service.
      services: servicesOf(queue),
      caller: toCaller(options),
      timeoutMs: Math.max(0, deadlineMs - performance.now()),
    });
  };

  return {
    platform,
    isReady: () =>
      platform.configuration() !== undefined && layout().size > 0 &&
      queueServices.isComplete() && !isUnreachable(),
    authorize: (queue, key) =>
      authorizeCall(platform.configuration() ?? NO_ORGANISATIONS, {
        queue,
        key,
        configurationAgeMs: platform.held.ageMs,
        maxRevocationMs,
      }),
    refreshConfiguration: createConfigurationRefresh(platform.held, {
      read: platform.readConfiguration,
    }),
    accept,
    cancel,
    getJobState,
    organisationUse: () =>
      sumOrganisationUse(
        [...owners.values()].map((owner) => owner.organisationUse()),
      ),
    async countPending(queue, timeoutMs) {
      const deadlineMs = performance.now() + timeoutMs;
      const queryAll = (partitions: readonly number[]) =>
        Promise.all(partitions.map((partition) =>
          queryPendingCount(access, {
            partition,
            queue: queue.name,
            timeoutMs: Math.max(0, deadlineMs - performance.now()),
          })
        ));
      const home = queueServices.homeOf(queue) ?? queue.service;
      const atHome = layout().get(home) ?? [];
      const elsewhere = servicesOf(queue)
        .flatMap((service) => layout().get(service) ?? [])
        .filter((partition) => !atHome.includes(partition));
      // In the other order, a job that is handed on meanwhile counts twice.
      const counts = await queryAll([...new Set(elsewhere)]);
      counts.push(...await queryAll(atHome));
      let sum = 0;
      for (const count of counts) {
        if (count.type !== "known") return { type: "unavailable" };
        sum += count.value;
      }
      return { type: "known", value: sum };
    },
    servedCalls: () => servedCalls,
    leave: () => ownership.leave(),
    async close() {
      layoutWatch.close();
      queueServices.close();
      exchange?.close();
      relayMonitor.close();
      reachability.close();
      access.close();
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
  return servicePartitions(layout).has(partition);
}
