/**
 * Platform client without a network, for tests under fake timers.
 *
 * @module
 */

import type { ListedHost, PlatformClient } from "@lagoonloom/platform";
import type { LogStore } from "./log_store.ts";

/** Options of {@linkcode createPlatformStandin}. */
export type PlatformStandinOptions = {
  /** Returns the entries of the host list; there are none by default. */
  hosts?: () => readonly ListedHost[];
  /** Restarts a host; called once for each id. */
  reboot?: (host: string) => void;
  /** Whether this client's calls fail even if the log has no fault. */
  isUnreachable?: () => boolean;
};

/**
 * Creates a platform client that reads and appends to a log in memory. It
 * applies the log's faults to all calls.
 *
 * @example
 * ```ts
 * const platform = createPlatformStandin(createLogStore());
 * ```
 */
export function createPlatformStandin(
  store: LogStore,
  options: PlatformStandinOptions = {},
): PlatformClient {
  const { faults } = store;
  const reason = "The log stand-in is down.";
  const rebootIds = new Set<string>();
  const isDown = () => faults.isDown || (options.isUnreachable?.() ?? false);
  async function applyDelay(): Promise<void> {
    if (faults.delayMs > 0) {
      await new Promise((resolve) => setTimeout(resolve, faults.delayMs));
    }
  }
  return {
    async append({ stream, id, body }) {
      await applyDelay();
      if (isDown()) return { type: "refused", reason };
      const { offset, timeMs } = store.append(stream, { id, body });
      if (faults.lostAnswers > 0) {
        faults.lostAnswers--;
        return { type: "unknown", reason: "The answer was lost." };
      }
      return { type: "appended", offset, timeMs };
    },
    async read({ stream, from, limit, waitMs }) {
      await applyDelay();
      if (!isDown()) await store.waitFor(stream, { from, waitMs });
      if (isDown()) return { type: "unreachable", reason };
      const page = store.read(stream, { from, limit });
      return { type: page.oldestOffset > from ? "expired" : "read", page };
    },
    async readHosts() {
      await applyDelay();
      if (isDown()) return { type: "unreachable", reason };
      return { type: "read", hosts: [...(options.hosts?.() ?? [])] };
    },
    async rebootHost(host, id) {
      await applyDelay();
      if (isDown()) return { type: "unknown", reason };
      if (!rebootIds.has(id)) options.reboot?.(host);
      rebootIds.add(id);
      return { type: "accepted" };
    },
    close: () => undefined,
  };
}
