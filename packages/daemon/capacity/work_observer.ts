/**
 * Observation of the work on hosts that are about to go out of service.
 *
 * @module
 */

import {
  type FleetState,
  type SlotKey,
  splitSlotKey,
  type WorkObservation,
} from "@lagoonloom/decisions";
import type { PeerLinks } from "../peer_links.ts";

/** Options of {@linkcode createWorkObserver}. */
export type WorkObserverOptions = {
  name: string;
  dataCentre: string;
  links: () => PeerLinks;
  /** Returns the slots on which requests of this entry host may run. */
  running: (nowMs: number) => readonly SlotKey[];
  bootedAtMs: (host: string) => number | undefined;
  /** Time in milliseconds for which a lost entry host may use its slots. */
  lossFenceMs: number;
};

/** Observer of the work on hosts that have a permit to go out of service. */
export type WorkObserver = {
  observe(
    state: FleetState,
    nowMs: number,
  ): ReadonlyMap<string, WorkObservation>;
};

/**
 * Creates the observer of the work on hosts that have a permit to go out of
 * service. The number of requests on such a host is known only after each entry
 * host of the data centre has folded the permit and then reported whether it
 * still uses the host. Until then, and for the fencing time after the loss of
 * an entry host, the number is undefined and the host counts as busy.
 *
 * @example
 * ```ts
 * const observer = createWorkObserver(options);
 * const observations = observer.observe(state, performance.now());
 * ```
 */
export function createWorkObserver(options: WorkObserverOptions): WorkObserver {
  /** Log offset, by host, that members must have reached to know its permit. */
  const permitOffsets = new Map<string, number>();
  let members = new Set<string>();
  let lostAtMs = -Infinity;

  function detectLosses(state: FleetState, nowMs: number): void {
    const now = new Set(
      [...state.members.values()]
        .filter((member) => member.dataCentre === options.dataCentre)
        .map(({ name, incarnation }) => `${name} ${incarnation}`),
    );
    // Members that left have ended their requests, but lost ones may still run
    // some. Both are treated as lost here.
    if ([...members].some((member) => !now.has(member))) lostAtMs = nowMs;
    members = now;
  }

  function countRequests(
    state: FleetState,
    host: string,
    locallyBusyHosts: ReadonlySet<string>,
  ): number | undefined {
    let busy = locallyBusyHosts.has(host) ? 1 : 0;
    const nowMs = performance.now();
    for (const member of state.members.values()) {
      if (member.dataCentre !== options.dataCentre) continue;
      if (member.name === options.name) continue;
      const link = options.links().find(member.name);
      if (link === undefined || !options.links().isReachable(link, nowMs)) {
        return undefined;
      }
      if (link.incarnation !== member.incarnation) return undefined;
      if (link.nextOffset < permitOffsets.get(host)!) return undefined;
      if (link.busyHosts.has(host)) busy++;
    }
    return busy;
  }

  return {
    observe(state, nowMs) {
      detectLosses(state, nowMs);
      const observations = new Map<string, WorkObservation>();
      const locallyBusyHosts = new Set(
        options.running(nowMs).map((key) => splitSlotKey(key).host),
      );
      const busyWorkers = findBusyWorkers(state);
      for (const host of [...permitOffsets.keys()]) {
        if (state.hosts.get(host)?.permit === undefined) {
          permitOffsets.delete(host);
        }
      }
      for (const [host, { permit }] of state.hosts) {
        if (permit === undefined) continue;
        if (!permitOffsets.has(host)) permitOffsets.set(host, state.nextOffset);
        const isFenced = nowMs - lostAtMs < options.lossFenceMs;
        const requests = isFenced
          ? undefined
          : countRequests(state, host, locallyBusyHosts);
        const jobs = busyWorkers.has(host) ? 1 : 0;
        const bootedAtMs = options.bootedAtMs(host);
        observations.set(host, {
          requests: requests === undefined ? undefined : requests + jobs,
          ...(bootedAtMs !== undefined && { bootedAtMs }),
        });
      }
      return observations;
    },
  };
}

function findBusyWorkers(state: FleetState): Set<string> {
  const workers = new Set<string>();
  for (const job of state.jobs.values()) {
    if (job.state === "running" && job.worker !== undefined) {
      workers.add(job.worker);
    }
  }
  return workers;
}
