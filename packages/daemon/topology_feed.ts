import { buildTopology, listRemoteSlots } from "./build_topology.ts";
import type { ControlFold } from "./control_fold.ts";
import type { HostListCache } from "./host_list_cache.ts";
import type { PeerLinks } from "./peer_links.ts";
import type { RequestPath } from "./requests/mod.ts";
import type { SlotControl } from "./slot_control.ts";

/** Feed of the topology to the request path. */
export type TopologyFeed = {
  /** Builds the topology anew, after what it is built from has changed. */
  rebuild(): void;
  /** Passes on changed counts of the other entry hosts' free slots. */
  tick(nowMs: number): void;
};

/** Options of {@linkcode createTopologyFeed}. */
export type TopologyFeedOptions = {
  dataCentre: string;
  fold: ControlFold;
  slots: SlotControl;
  hostList: HostListCache;
  links: PeerLinks;
  requestPath: RequestPath;
};

/**
 * Creates the feed of the topology to the request path. A topology of 3,600
 * hosts is built only when something in it changed, not in each step.
 *
 * @example
 * ```ts
 * const feed = createTopologyFeed(options);
 * feed.rebuild();
 * ```
 */
export function createTopologyFeed(options: TopologyFeedOptions): TopologyFeed {
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
      isNear: (member) => members.get(member)?.dataCentre === dataCentre,
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
