/**
 * Builders of services, topologies and events for the scheduler's tests.
 *
 * @module
 */

import type {
  QueuedRequest,
  SchedulerEvent,
  Topology,
  TopologyService,
} from "./mod.ts";

/** Returns a service without overflow that is guaranteed its whole pool. */
export function createService(
  name: string,
  options: Partial<TopologyService> = {},
): TopologyService {
  const defaults = { pool: name, sharePercent: 100, overflow: [] };
  return { name, ...defaults, runTimeMs: 100, ...options };
}

/** Returns a topology of pools with one executor per list of slots. */
export function createTopology(
  pools: Readonly<Record<string, readonly (readonly number[])[]>>,
  services: readonly TopologyService[],
): Topology {
  return {
    services,
    pools: Object.entries(pools).map(([name, hosts]) => ({
      name,
      hosts: hosts.map((slots, index) => ({
        name: `${name}-${index}`,
        slots,
        isLeaving: false,
      })),
    })),
  };
}

/** Returns an arrival; its deadline is 2 s after time zero by default. */
export function arrive(
  id: string,
  options: Partial<QueuedRequest> = {},
): SchedulerEvent {
  const request: QueuedRequest = {
    id,
    service: "huye",
    urgency: "normal",
    arrivedAtMs: 0,
    deadlineAtMs: 2_000,
    isForwarded: false,
    excludedHosts: [],
    ...options,
  };
  return { type: "arrived", request };
}

/** Returns the end of a request that succeeded after 100 ms by default. */
export function finish(
  id: string,
  place: { host: string; slot: number },
  options: Partial<Extract<SchedulerEvent, { type: "finished" }>> = {},
): SchedulerEvent {
  const { host, slot } = place;
  const result = "succeeded";
  return { type: "finished", id, host, slot, runMs: 100, result, ...options };
}
