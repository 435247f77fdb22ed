/**
 * Cache of the platform's list of hosts.
 *
 * @module
 */

import type { ListedHost, PlatformClient } from "@lagoonloom/platform";
import type { EventLog } from "@lagoonloom/telemetry";

/**
 * Interval of reads of the host list in milliseconds. It is half of the 3 s
 * after which a host that was marked as leaving must get no new requests.
 */
const READ_INTERVAL_MS = 1_500;

/** Cache of the platform's host list. */
export type HostListCache = {
  /** Returns the hosts that the last list marked as leaving. */
  leaving(): ReadonlySet<string>;
  /** Returns whether the last list had the host; true before the first list. */
  isListed(host: string): boolean;
  /** Returns the time of the host's last boot in milliseconds, if known. */
  bootedAtMs(host: string): number | undefined;
  /**
   * Reads the list if this is due; resolves to whether the leaving hosts
   * changed.
   */
  tick(nowMs: number): Promise<boolean>;
};

/**
 * Creates a cache of the platform's host list. While the platform is
 * unreachable, the last list stays in use.
 *
 * @example
 * ```ts
 * const list = createHostListCache(platform, { events });
 * await list.tick(performance.now());
 * ```
 */
export function createHostListCache(
  platform: Pick<PlatformClient, "readHosts">,
  options: { events: EventLog },
): HostListCache {
  let leaving: ReadonlySet<string> = new Set();
  let entries: ReadonlyMap<string, ListedHost> | undefined;
  let listed: readonly ListedHost[] | undefined;
  let dueAtMs = 0;
  let isReachable = true;
  return {
    leaving: () => leaving,
    isListed: (host) => entries?.has(host) ?? true,
    bootedAtMs: (host) => entries?.get(host)?.bootedAtMs,
    async tick(nowMs) {
      if (nowMs < dueAtMs) return false;
      dueAtMs = Infinity;
      const outcome = await platform.readHosts();
      dueAtMs = performance.now() + READ_INTERVAL_MS;
      if (outcome.type === "unreachable") {
        const { reason } = outcome;
        if (isReachable) options.events.log("hostListUnreachable", { reason });
        isReachable = false;
        return false;
      }
      isReachable = true;
      // The client returns the same list until it changes.
      if (outcome.hosts === listed) return false;
      listed = outcome.hosts;
      entries = new Map(outcome.hosts.map((entry) => [entry.host, entry]));
      const next = new Set(
        outcome.hosts.filter(({ state }) => state === "leaving")
          .map(({ host }) => host),
      );
      const hasChanged = next.size !== leaving.size ||
        [...next].some((host) => !leaving.has(host));
      leaving = next;
      return hasChanged;
    },
  };
}
