/**
 * Checks planned outages of hosts against the budgets of their pool.
 *
 * @module
 */

import type { FleetState } from "../fold/fleet_state.ts";
import { getOwn } from "../fold/internal/outcomes.ts";
import { isAvailable, type PoolCapacity, rackKey } from "./pool_capacity.ts";

/**
 * Returns the reason why a host of the pool may not be taken out of service
 * now, or undefined if it may.
 *
 * A host that is unavailable already costs no capacity, but the planned outages
 * alone must not break a budget either: without the outage, the host could
 * return to service.
 *
 * @example
 * ```ts
 * const reason = findOutageBlocker(state, capacity, "host-1");
 * ```
 */
export function findOutageBlocker(
  state: FleetState,
  capacity: PoolCapacity,
  name: string,
): string | undefined {
  const object = getOwn(state.set.hosts, name);
  const host = state.hosts.get(name);
  if (object === undefined || host === undefined) return "The host is unknown.";
  if (host.permit !== undefined) return "The host holds a permit.";
  if (object.state === "in-service") {
    const reason = checkDomainLimits(capacity, object);
    if (reason !== undefined) return reason;
  }
  if (object.state === "leaving") return undefined;
  const { budget, value } = capacity.required;
  const isInService = isAvailable(state, name);
  const left = isInService
    ? capacity.available - 1
    : capacity.total - capacity.planned - 1;
  if (left < value) {
    return `Budget "${budget}" demands ${value} of ${capacity.total} hosts of "${capacity.pool}"; ${left} would be left.`;
  }
  if (!isInService || !capacity.reservesRack) return undefined;
  const leftAfterRackLoss = left - countLargestRack(capacity, rackKey(object));
  if (leftAfterRackLoss >= value) return undefined;
  return `Budget "${budget}" demands ${value} hosts of "${capacity.pool}"; ${leftAfterRackLoss} would be left if one more rack failed.`;
}

/**
 * Counts a host as out of service as planned, for further checks on the same
 * capacity.
 *
 * @example
 * ```ts
 * countAsOut(state, capacity, "host-1");
 * ```
 */
export function countAsOut(
  state: FleetState,
  capacity: PoolCapacity,
  name: string,
): void {
  const object = getOwn(state.set.hosts, name);
  if (object === undefined) return;
  const rack = capacity.racks.get(rackKey(object));
  const dataCentre = capacity.dataCentres.get(object.data_centre);
  const available = isAvailable(state, name) ? 1 : 0;
  capacity.available -= available;
  if (object.state === "in-service") capacity.planned++;
  for (const place of [rack, dataCentre]) {
    if (place === undefined) continue;
    place.available -= available;
    if (object.state === "in-service") place.planned++;
  }
}

/**
 * Counts a host that holds a permit as back in service.
 *
 * @example
 * ```ts
 * countAsReturned(state, capacity, "host-1");
 * ```
 */
export function countAsReturned(
  state: FleetState,
  capacity: PoolCapacity,
  name: string,
): void {
  const object = getOwn(state.set.hosts, name);
  if (object?.state !== "in-service") return;
  const rack = capacity.racks.get(rackKey(object));
  const dataCentre = capacity.dataCentres.get(object.data_centre);
  for (const counts of [capacity, rack, dataCentre]) {
    if (counts === undefined) continue;
    counts.available++;
    counts.planned--;
  }
}

function checkDomainLimits(
  capacity: PoolCapacity,
  object: { data_centre: string; rack: string },
): string | undefined {
  const { perRack, perDataCentre } = capacity.limits ?? {};
  const inRack = capacity.racks.get(rackKey(object))?.planned ?? 0;
  if (perRack !== undefined && inRack >= perRack.value) {
    return `Budget "${perRack.budget}" allows ${perRack.value} hosts of "${capacity.pool}" out in rack "${object.rack}".`;
  }
  const inDataCentre = capacity.dataCentres.get(object.data_centre)?.planned ??
    0;
  if (perDataCentre !== undefined && inDataCentre >= perDataCentre.value) {
    return `Budget "${perDataCentre.budget}" allows ${perDataCentre.value} hosts of "${capacity.pool}" out in "${object.data_centre}".`;
  }
  return undefined;
}

/** Returns the most available hosts of a rack once a host of `rack` is out. */
function countLargestRack(capacity: PoolCapacity, rack: string): number {
  let largest = 0;
  for (const [name, { available }] of capacity.racks) {
    largest = Math.max(largest, name === rack ? available - 1 : available);
  }
  return largest;
}
