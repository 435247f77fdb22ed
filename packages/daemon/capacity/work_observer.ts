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
  /** Slots on which requests of this entry host may run. */
  running: (nowMs: number) => readonly SlotKey[];
  bootedAtMs: (host: string) => number | undefined;
  /** Time in milliseconds for which a lost entry host may still use slots. */
  lossFenceMs: number;
};

/** Observer of the work on hosts that hold a permit. */
export type WorkObserver = {
  observe(
    state: FleetState,
    nowMs: number,
  ): ReadonlyMap<string, WorkObservation>;
};

/**
 * Creates the observer of the work on hosts that hold a permit. The requests of
 * a host are known only if every entry host of the data centre has folded the
 * permit and said since whether it still uses the host; until then, and for the
 * fence after an entry host was lost, the host counts as busy.
 *
 * @example
 * ```ts
 * const observer = createWorkObserver(options);
 * const observations = observer.observe(state, performance.now());
 * ```
 */
export function createWorkObserver(options: WorkObserverOptions): WorkObserver {
  /** Offset from which on a member knows of a host's permit. */
  const permitOffsets = new Map<string, number>();
  let members = new Set<string>();
  let lostAtMs = -Infinity;

  function detectLosses(state: FleetState, nowMs: number): void {
    const now = new Set(
      [...state.members.values()]
        .filter((member) => member.dataCentre === options.dataCentre)
        .map(({ name, incarnation }) => `${name} ${incarnation}`),
    );
    // A member that left has ended its requests, but one that was lost may
    // still run some; both count as lost here.
    if ([...members].some((member) => !now.has(member))) lostAtMs = nowMs;
    members = now;
  }

  function countRequests(
    state: FleetState,
    host: string,
    busyLocally: ReadonlySet<string>,
  ): number | undefined {
    let busy = busyLocally.has(host) ? 1 : 0;
    const nowMs = performance.now();
    for (const member of state.members.values()) {
      if (member.dataCentre !== options.dataCentre) continue;
      if (member.name === options.name) continue;
      const link = options.links().find(member.name);
      if (link === undefined || !options.links().isAnswering(link, nowMs)) {
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
      const busyHere = new Set(
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
          : countRequests(state, host, busyHere);
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
