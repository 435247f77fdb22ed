import type { ListedHost, PlatformClient } from "@lagoonloom/platform";
import type { EventLog } from "@lagoonloom/telemetry";

/**
 * Interval of reads of the host list in milliseconds, half of the time in which
 * a leaving host gets no new work any more.
 */
const READ_INTERVAL_MS = 1_500;

/** Copy of the platform's host list. */
export type HostListCache = {
  /** Hosts that the list last named as leaving. */
  leaving(): ReadonlySet<string>;
  /** Whether the last list had the host; true before the first one. */
  isListed(host: string): boolean;
  /** Time of the host's last start in milliseconds, if the list has it. */
  bootedAtMs(host: string): number | undefined;
  /** Reads the list if it is due; resolves to whether the marks changed. */
  tick(nowMs: number): Promise<boolean>;
};

/**
 * Creates a copy of the platform's host list. While the list is unreachable,
 * the last marks stay.
 *
 * @example
 * ```ts
 * const list = createHostListCopy(platform, { events });
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
