import { sleep } from "../_sleep.ts";

/** Interval between probes while the store is unreachable. */
const PROBE_INTERVAL_MS = 300;

/** Longest wait for one member's answer to a probe. */
const PROBE_TIMEOUT_MS = 250;

/** Age after which a positive answer no longer counts. */
const MAX_ANSWER_AGE_MS = 800;

/** Members that reach the store while this one does not. */
export type RelayMonitor = {
  /** Returns the addresses of members that recently reported reaching it. */
  reachableAddresses(): string[];
  close(): void;
};

/** Options of {@linkcode createRelayMonitor}. */
export type RelayMonitorOptions = {
  /** Returns whether the store is unreachable from this member. */
  isStoreUnreachable(): boolean;
  /** Returns the addresses of the other members. */
  otherMembers(): string[];
  /**
   * Asks a member whether it reaches the store. Returns undefined if the
   * member does not answer.
   */
  reach(address: string, timeoutMs: number): Promise<boolean | undefined>;
};

/**
 * Creates a monitor that probes, while the store is unreachable from this
 * member, which other members reach it and so can relay records. Members are
 * probed before they are sent a record because a record sent to a member that
 * then fails to answer may be stored, so its submission can no longer be
 * refused.
 *
 * @example
 * ```ts
 * const monitor = createRelayMonitor({
 *   isStoreUnreachable,
 *   otherMembers,
 *   reach,
 * });
 * const [address] = monitor.reachableAddresses();
 * ```
 */
export function createRelayMonitor(options: RelayMonitorOptions): RelayMonitor {
  /** Monotonic time of the last positive answer, by address. */
  const answeredAtMs = new Map<string, number>();
  let isClosed = false;

  const probe = async (address: string) => {
    const isReached = await options.reach(address, PROBE_TIMEOUT_MS);
    if (isReached === true) answeredAtMs.set(address, performance.now());
    else answeredAtMs.delete(address);
  };

  const run = async () => {
    while (!isClosed) {
      if (options.isStoreUnreachable()) {
        await Promise.all(options.otherMembers().map(probe));
      } else answeredAtMs.clear();
      await sleep(PROBE_INTERVAL_MS);
    }
  };
  void run();

  return {
    reachableAddresses() {
      const oldestMs = performance.now() - MAX_ANSWER_AGE_MS;
      return [...answeredAtMs].filter(([, atMs]) => atMs >= oldestMs)
        .map(([address]) => address);
    },
    close() {
      isClosed = true;
    },
  };
}
