import { poolCapacity } from "../budgets/pool_capacity.ts";
import type { FleetState } from "../fold/fleet_state.ts";
import { getOwn } from "../fold/internal/outcomes.ts";
import { type Explanation, unknownObject } from "./explanation.ts";

/**
 * Explains the capacity of a service, the hosts that its budgets require and
 * how many more may be taken out of service.
 *
 * @example
 * ```ts
 * const { sentences } = explainService(state, "orders");
 * ```
 */
export function explainService(state: FleetState, name: string): Explanation {
  const object = getOwn(state.set.services, name);
  if (object === undefined) return unknownObject("service", name);
  const capacity = poolCapacity(state, object.pool);
  const { total, available, planned, unplanned, required } = capacity;
  const left = available - required.value;
  const sentences = [
    `Service "${name}" has ${object.share_percent}% of pool "${object.pool}", of which ${available} of ${total} hosts are available, ${planned} are out as planned and ${unplanned} failed or are silent.`,
    required.value === 0
      ? "No budget demands a number of hosts."
      : `Budget "${required.budget}" demands ${required.value} hosts.`,
    left > 0
      ? `At most ${left} more may be out now${
        capacity.reservesRack
          ? ", fewer if the loss of one more rack would break the budget"
          : ""
      }.`
      : "No more hosts may be out until others return, hosts join the pool or an operator publishes a lower budget.",
  ];
  const incoming = [...state.hosts].filter(([, host]) =>
    host.permit?.to === object.pool && host.owner !== object.pool
  ).map(([host]) => host);
  if (incoming.length > 0) {
    sentences.push(
      `Hosts that are moving to the pool: ${incoming.join(", ")}.`,
    );
  }
  return {
    sentences,
    facts: {
      service: object,
      total,
      available,
      planned,
      unplanned,
      required,
      incoming,
    },
  };
}
