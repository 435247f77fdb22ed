/**
 * Updates of the topology that the request path uses.
 *
 * @module
 */

import { buildTopology, listRemoteSlots } from "./build_topology.ts";
import type { ControlFold } from "./control_fold.ts";
import type { HostListCache } from "./host_list_cache.ts";
import type { PeerLinks } from "./peer_links.ts";
import type { RequestPath } from "./requests/mod.ts";
import type { SlotControl } from "./slot_control.ts";

/** Updater of the topology that the request path uses. */
export type TopologyUpdater = {
  /** Rebuilds the topology; to be called when its input has changed. */
  rebuild(): void;
  /** Updates the free slots of the other entry hosts if they changed. */
  tick(nowMs: number): void;
};

/** Options of {@linkcode createTopologyUpdater}. */
export type TopologyUpdaterOptions = {
  dataCentre: string;
  fold: ControlFold;
  slots: SlotControl;
  hostList: HostListCache;
  links: PeerLinks;
  requestPath: RequestPath;
};

/**
 * Creates the updater of the request path's topology. The topology, which may
 * have 3,600 hosts, is rebuilt only on a change, not on every tick.
 *
 * @example
 * ```ts
 * const updater = createTopologyUpdater(options);
 * updater.rebuild();
 * ```
 */
export function createTopologyUpdater(
  options: TopologyUpdaterOptions,
): TopologyUpdater {
  const { dataCentre, fold, slots, hostList, links, requestPath } = options;
  let topology = build();
  let sentRemoteSlots = "";
  function build() {
    return buildTopology({
      state: fold.state(),
      dataCentre,
      usable: slots.usable(),
      listedLeaving: hostList.leaving(),
    });
  }
  function remoteSlots(nowMs: number) {
    const { members } = fold.state();
    return listRemoteSlots(links, {
      nowMs,
      isSameDataCentre: (member) =>
        members.get(member)?.dataCentre === dataCentre,
    });
  }
  return {
    rebuild() {
      topology = build();
      const remote = remoteSlots(performance.now());
      sentRemoteSlots = JSON.stringify(remote);
      requestPath.updateTopology(topology, remote);
    },
    tick(nowMs) {
      const remote = remoteSlots(nowMs);
      const next = JSON.stringify(remote);
      if (next === sentRemoteSlots) return;
      sentRemoteSlots = next;
      requestPath.updateTopology(topology, remote);
    },
  };
}
