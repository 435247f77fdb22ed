import type { FleetState } from "@lagoonloom/decisions";
import type { PeerTarget } from "./peer_links.ts";
import type { DaemonSettings } from "./settings.ts";

/**
 * Lists the entry hosts that get heartbeats: the seeds in the settings and the
 * members in the region of this entry host. A seed that turns out to be a
 * member in another region gets none.
 *
 * @example
 * ```ts
 * links.setTargets(listPeerTargets(fold.state(), settings));
 * ```
 */
export function listPeerTargets(
  state: FleetState,
  settings: DaemonSettings,
): PeerTarget[] {
  const { data_centre: own, region } = settings.daemon;
  const targets = new Map<string, boolean>(
    settings.peers.seeds.map((address) => [address, true]),
  );
  const regions = new Map<string, string>();
  for (const host of Object.values(state.set.hosts)) {
    regions.set(host.data_centre, host.region);
  }
  for (const { dataCentre, peerAddress } of state.members.values()) {
    // The region of a data centre without hosts in the set is unknown, so its
    // members are taken to be in this region.
    if ((regions.get(dataCentre) ?? region) !== region) {
      targets.delete(peerAddress);
      continue;
    }
    targets.set(peerAddress, dataCentre === own);
  }
  targets.delete(settings.peers.address);
  return [...targets].map(([address, isSameDataCentre]) => ({
    address,
    isSameDataCentre,
  }));
}
