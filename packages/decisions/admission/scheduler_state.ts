/**
 * State of the scheduler of one entry host.
 *
 * @module
 */

import { createExecutorHealth, type ExecutorHealth } from "../routing/mod.ts";
import { type ArrivalRate, createArrivalRate } from "./arrival_rate.ts";
import type { QueuedRequest } from "./queued_request.ts";
import { createRequestQueue, type RequestQueue } from "./request_queue.ts";
import {
  createRunTimeEstimate,
  type RunTimeEstimate,
} from "./run_time_estimate.ts";
import type { RemoteSlots, Topology, TopologyService } from "./topology.ts";
import { Urgency } from "./urgency.ts";

/** Options of {@linkcode createScheduler}. */
export type SchedulerOptions = {
  topology: Topology;
  /**
   * Limit on waiting requests per service and class;
   * {@linkcode DEFAULT_MAX_QUEUE_LENGTH} by default.
   */
  maxQueueLength?: number;
  /**
   * Longest wait of a request in milliseconds; {@linkcode DEFAULT_MAX_WAIT_MS}
   * by default.
   */
  maxWaitMs?: number;
};

/** Executor and the slots of it that this entry host may use. */
export type SchedulerHost = {
  name: string;
  pool: string;
  /** Whether it gets no new requests. */
  isLeaving: boolean;
  health: ExecutorHealth;
  /** Slots owned now. */
  owned: ReadonlySet<number>;
  /** Owned slots that are not in use. */
  free: number[];
  /** Slots in use, including those that are no longer owned. */
  inUse: Set<number>;
};

/** Pool with its executors and the services that use it. */
export type SchedulerPool = {
  name: string;
  hosts: SchedulerHost[];
  /** Number of executors in all data centres, if known. */
  size: number | undefined;
  /** Services whose home pool this is. */
  owners: SchedulerService[];
  /** Services that may use this pool, owners included. */
  users: SchedulerService[];
  /** Moving average run time of requests in borrowed slots in milliseconds. */
  borrowedRunMs: number;
};

/** Service with its queues and use of slots. */
export type SchedulerService = {
  spec: TopologyService;
  /** Home pool first, then the overflow pools in order. */
  pools: SchedulerPool[];
  queues: Record<Urgency, RequestQueue>;
  /** Run times over all classes. */
  runTime: RunTimeEstimate;
  arrivals: ArrivalRate;
  /** Running requests by pool; pools without one are left out. */
  runningByPool: Map<string, number>;
  /** Running requests over all pools. */
  running: number;
  /** Moving average of the slots used beyond the guarantee. */
  borrowedAverage: number;
  /** Monotonic time of the last update of `borrowedAverage`. */
  borrowedUpdatedAtMs: number;
  /** Starts due to normal and deferrable requests, from 0 to 1. */
  nonUrgentCredit: number;
  /** Non-urgent starts due to deferrable requests, from 0 to 1. */
  deferrableCredit: number;
};

/** Request that runs in a slot of this entry host. */
export type RunningRequest = {
  service: string;
  urgency: Urgency;
  startedAtMs: number;
  pool: string;
  host: string;
  slot: number;
  /** Whether its service had used up its guarantee in the pool at the start. */
  isBorrowed: boolean;
  /** Whether it is the probe of an ejected host. */
  isProbe: boolean;
};

/** Request that was forwarded to another entry host and has not ended. */
export type ForwardedRequest = {
  request: QueuedRequest;
  member: string;
  pool: string;
  /** Whether it was forwarded for a lent slot rather than a free one. */
  isForLent: boolean;
};

/** Last report of another entry host on a pool, and the forwards since. */
export type RemotePool = RemoteSlots & {
  /** Requests forwarded for free slots since the report, less those ended. */
  sentForFree: number;
  /** Requests forwarded for lent slots since the report, less those ended. */
  sentForLent: number;
  /** Monotonic time in milliseconds until which no free slot is used. */
  freeBlockedUntilMs: number;
  /** Monotonic time in milliseconds until which no lent slot is used. */
  lentBlockedUntilMs: number;
};

/** State of the scheduler of one entry host, which events mutate. */
export type SchedulerState = {
  maxQueueLength: number;
  maxWaitMs: number;
  pools: Map<string, SchedulerPool>;
  hosts: Map<string, SchedulerHost>;
  services: Map<string, SchedulerService>;
  /** Service and class of each waiting request by its id. */
  waiting: Map<string, { service: string; urgency: Urgency }>;
  running: Map<string, RunningRequest>;
  forwarded: Map<string, ForwardedRequest>;
  /** Entry hosts that returned a waiting request without running it, by id. */
  returnedBy: Map<string, string[]>;
  remote: RemotePool[];
};

/** Default limit on waiting requests per service and class. */
export const DEFAULT_MAX_QUEUE_LENGTH = 256;

/** Default longest wait of a request in milliseconds. */
export const DEFAULT_MAX_WAIT_MS = 10_000;

/**
 * Creates the scheduler of one entry host, with empty queues.
 *
 * @example
 * ```ts
 * const state = createScheduler({ topology });
 * ```
 */
export function createScheduler(options: SchedulerOptions): SchedulerState {
  const state: SchedulerState = {
    maxQueueLength: options.maxQueueLength ?? DEFAULT_MAX_QUEUE_LENGTH,
    maxWaitMs: options.maxWaitMs ?? DEFAULT_MAX_WAIT_MS,
    pools: new Map(),
    hosts: new Map(),
    services: new Map(),
    waiting: new Map(),
    running: new Map(),
    forwarded: new Map(),
    returnedBy: new Map(),
    remote: [],
  };
  applyTopology(state, options.topology);
  return state;
}

/**
 * Replaces the topology. Running requests continue; a slot that is no longer
 * owned is not used again after its request ends. Requests of removed services
 * stay in `waiting`, and the caller has to refuse them.
 *
 * @example
 * ```ts
 * applyTopology(state, topology);
 * ```
 */
export function applyTopology(
  state: SchedulerState,
  topology: Topology,
): void {
  const oldHosts = state.hosts;
  const oldPools = state.pools;
  state.hosts = new Map();
  state.pools = new Map();
  for (const pool of topology.pools) {
    const hosts = pool.hosts.map((host) => {
      const old = oldHosts.get(host.name);
      const inUse = old?.inUse ?? new Set<number>();
      const next: SchedulerHost = {
        name: host.name,
        pool: pool.name,
        isLeaving: host.isLeaving,
        health: old?.health ?? createExecutorHealth(),
        owned: new Set(host.slots),
        free: [...new Set(host.slots)].filter((slot) => !inUse.has(slot)),
        inUse,
      };
      state.hosts.set(host.name, next);
      return next;
    });
    state.pools.set(pool.name, {
      name: pool.name,
      hosts,
      size: pool.size,
      owners: [],
      users: [],
      borrowedRunMs: oldPools.get(pool.name)?.borrowedRunMs ?? 0,
    });
  }
  keepHostsWithRunningRequests(state, oldHosts);
  replaceServices(state, topology.services);
}

/**
 * Keeps removed hosts that still run requests, so that their slots in use are
 * known if a host is added again.
 */
function keepHostsWithRunningRequests(
  state: SchedulerState,
  oldHosts: Map<string, SchedulerHost>,
): void {
  for (const [name, host] of oldHosts) {
    if (state.hosts.has(name) || host.inUse.size === 0) continue;
    state.hosts.set(name, {
      ...host,
      isLeaving: true,
      owned: new Set(),
      free: [],
    });
  }
}

function replaceServices(
  state: SchedulerState,
  nextServices: readonly TopologyService[],
): void {
  const old = state.services;
  state.services = new Map();
  for (const spec of nextServices) {
    const service = old.get(spec.name) ?? createService(spec);
    service.spec = spec;
    service.pools = [...new Set([spec.pool, ...spec.overflow])]
      .map((name) => state.pools.get(name))
      .filter((pool) => pool !== undefined);
    state.services.set(spec.name, service);
    for (const pool of service.pools) {
      pool.users.push(service);
      if (pool.name === spec.pool) pool.owners.push(service);
    }
  }
}

function createService(spec: TopologyService): SchedulerService {
  return {
    spec,
    pools: [],
    queues: {
      urgent: createRequestQueue(spec.runTimeMs),
      normal: createRequestQueue(spec.runTimeMs),
      deferrable: createRequestQueue(spec.runTimeMs),
    },
    runTime: createRunTimeEstimate(spec.runTimeMs),
    arrivals: createArrivalRate(),
    runningByPool: new Map(),
    running: 0,
    borrowedAverage: 0,
    borrowedUpdatedAtMs: 0,
    nonUrgentCredit: 0,
    deferrableCredit: 0,
  };
}

/**
 * Returns the number of waiting requests of a service over all classes.
 *
 * @example
 * ```ts
 * const waiting = countWaiting(service);
 * ```
 */
export function countWaiting(service: SchedulerService): number {
  let count = 0;
  for (const urgency of Urgency.options) {
    count += service.queues[urgency].items.length;
  }
  return count;
}
