/**
 * Topology for the scheduler of an entry host, built from the folded state, the
 * usable slots and the reports of other entry hosts.
 *
 * @module
 */

import {
  type FleetState,
  type RemoteSlots,
  type SlotKey,
  splitSlotKey,
  type Topology,
  type TopologyHost,
} from "@lagoonloom/decisions";
import type { PeerLinks } from "./peer_links.ts";

/** Input from which the topology of an entry host is built. */
export type TopologySource = {
  state: FleetState;
  dataCentre: string;
  /** Slots that this entry host may use now. */
  usable: ReadonlySet<SlotKey>;
  /** Hosts that the platform's list names as leaving. */
  listedLeaving: ReadonlySet<string>;
};

/**
 * Returns why a host is leaving, or undefined if it is not. A host is leaving
 * if the set says so, if it has an open permit to go out of service, or if the
 * platform's list names it as leaving. A list that omits the host does not
 * revoke the other two.
 *
 * @example
 * ```ts
 * const reason = whyLeaving("quoting-1", source);
 * ```
 */
export function whyLeaving(
  host: string,
  source: Pick<TopologySource, "state" | "listedLeaving">,
): string | undefined {
  const { state, listedLeaving } = source;
  if (state.set.hosts[host]?.state === "leaving") return "set";
  const permit = state.hosts.get(host)?.permit;
  if (permit !== undefined) return `permit to ${permit.purpose}`;
  return listedLeaving.has(host) ? "host list" : undefined;
}

/**
 * Builds the topology for the scheduler of this entry host: the hosts of its
 * data centre by the pool that owns them, and the services.
 *
 * @example
 * ```ts
 * const topology = buildTopology(source);
 * ```
 */
export function buildTopology(source: TopologySource): Topology {
  const { state, dataCentre } = source;
  const pools = new Map<string, TopologyHost[]>(
    Object.keys(state.set.pools).map((name) => [name, []]),
  );
  const slots = slotsByHost(source.usable);
  const sizes = new Map<string, number>();
  for (const [name, { owner }] of state.hosts) {
    sizes.set(owner, (sizes.get(owner) ?? 0) + 1);
    if (state.set.hosts[name]?.data_centre !== dataCentre) continue;
    pools.get(owner)?.push({
      name,
      slots: slots.get(name) ?? [],
      isLeaving: whyLeaving(name, source) !== undefined,
    });
  }
  return {
    pools: [...pools].map(([name, hosts]) => ({
      name,
      hosts,
      size: sizes.get(name) ?? 0,
    })),
    services: Object.entries(state.set.services).map(([name, service]) => ({
      name,
      pool: service.pool,
      sharePercent: service.share_percent,
      overflow: service.overflow,
      runTimeMs: service.run_time_ms,
    })),
  };
}

function slotsByHost(usable: ReadonlySet<SlotKey>): Map<string, number[]> {
  const slots = new Map<string, number[]>();
  for (const key of usable) {
    const { host, slot } = splitSlotKey(key);
    const indexes = slots.get(host) ?? [];
    indexes.push(slot);
    slots.set(host, indexes);
  }
  return slots;
}

/**
 * Lists the free slots that the reachable entry hosts reported.
 *
 * @example
 * ```ts
 * const remote = listRemoteSlots(links, { nowMs, isSameDataCentre });
 * ```
 */
export function listRemoteSlots(
  links: PeerLinks,
  options: { nowMs: number; isSameDataCentre: (member: string) => boolean },
): RemoteSlots[] {
  return links.all()
    .filter((link) => links.isReachable(link, options.nowMs))
    .flatMap((link) =>
      [...link.freeSlots.values()].map((report) => ({
        ...report,
        member: link.name,
        isSameDataCentre: options.isSameDataCentre(link.name),
      }))
    );
}
