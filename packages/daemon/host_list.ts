import type { PlatformClient } from "@lagoonloom/platform";
import type { EventLog } from "@lagoonloom/telemetry";

/** Interval of reads of the host list in milliseconds. */
const READ_INTERVAL_MS = 1_000;

/** Copy of the platform's host list. */
export type HostListCopy = {
  /** Hosts that the list last named as leaving. */
  leaving(): ReadonlySet<string>;
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
export function createHostListCopy(
  platform: Pick<PlatformClient, "readHosts">,
  options: { events: EventLog },
): HostListCopy {
  let leaving: ReadonlySet<string> = new Set();
  let dueAtMs = 0;
  let isReachable = true;
  return {
    leaving: () => leaving,
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
