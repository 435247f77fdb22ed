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
  /** Most requests waiting per service and class. */
  maxQueueLength?: number;
  /** Longest wait of a request in milliseconds. */
  maxWaitMs?: number;
};

/** Executor with the slots that this entry host may use. */
export type SchedulerHost = {
  name: string;
  pool: string;
  isLeaving: boolean;
  health: ExecutorHealth;
  /** Slots owned now. */
  owned: ReadonlySet<number>;
  /** Owned slots that are not in use. */
  free: number[];
  /** Slots in use, also those that are no longer owned. */
  inUse: Set<number>;
};

/** Pool with its lending state. */
export type SchedulerPool = {
  name: string;
  hosts: SchedulerHost[];
  size: number | undefined;
  /** Services at home in this pool. */
  owners: SchedulerService[];
  /** Services that may use this pool, owners included. */
  users: SchedulerService[];
  /** Moving average of the run time of borrowed work in milliseconds. */
  borrowedRunMs: number;
};

/** Service with its queues. */
export type SchedulerService = {
  spec: TopologyService;
  /** Home pool first, then the overflow pools in order. */
  pools: SchedulerPool[];
  queues: Record<Urgency, RequestQueue>;
  /** Run times of all classes. */
  runTime: RunTimeEstimate;
  arrivals: ArrivalRate;
  runningByPool: Map<string, number>;
  running: number;
  /** Moving average of the slots used beyond the guarantee. */
  borrowedAverage: number;
  borrowedUpdatedAtMs: number;
  /** Starts that urgent work owes to the other classes. */
  nonUrgentCredit: number;
  /** Starts that normal work owes to deferrable work. */
  deferrableCredit: number;
};

/** Request in progress here. */
export type RunningRequest = {
  service: string;
  urgency: Urgency;
  startedAtMs: number;
  pool: string;
  host: string;
  slot: number;
  isBorrowed: boolean;
  /** Whether it tests an ejected host. */
  isProbe: boolean;
};

/** Request in progress at another entry host. */
export type ForwardedRequest = {
  request: QueuedRequest;
  member: string;
  pool: string;
  /** Whether it was sent for a slot that was reported as lent. */
  isForLent: boolean;
};

/** Slots that another entry host reported, and their use from here. */
export type RemotePool = RemoteSlots & {
  /** Requests sent for free slots less those that ended, since the report. */
  sentForFree: number;
  /** The same for lent slots. */
  sentForLent: number;
  /** Monotonic time in milliseconds before which no free slot is used. */
  freeBlockedUntilMs: number;
  /** Monotonic time in milliseconds before which no lent slot is claimed. */
  lentBlockedUntilMs: number;
};

/** State of the scheduler of one entry host; it is changed in place. */
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
  /** Entry hosts that returned a waiting request as not run. */
  returnedBy: Map<string, string[]>;
  remote: RemotePool[];
};

/** Most requests that wait per service and class by default. */
export const DEFAULT_MAX_QUEUE_LENGTH = 256;

/** Longest wait in milliseconds by default. */
export const DEFAULT_MAX_WAIT_MS = 10_000;

/**
 * Returns the scheduler of one entry host, with empty queues.
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
 * Replaces the topology. Running requests continue, and a slot that is no
 * longer owned is not used again when its request ends. Requests of services
 * that were removed stay in `waiting`, for the caller to refuse.
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

/** Keeps the slots in use of removed hosts, in case a host comes back. */
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
  specs: readonly TopologyService[],
): void {
  const old = state.services;
  state.services = new Map();
  for (const spec of specs) {
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
 * Returns the number of waiting requests of a service.
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
