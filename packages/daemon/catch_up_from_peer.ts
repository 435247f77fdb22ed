import type { ControlFold } from "./control_fold.ts";
import type { LogFollower } from "./log_follower.ts";
import type { PeerLink } from "./peer_links.ts";

/**
 * Age of the log in milliseconds from which peers are asked for records. A read
 * in progress reaches it only if the log has no newer records.
 */
const CATCH_UP_AGE_MS = 1_000;

/**
 * Age of the log in milliseconds from which every peer is asked for its own. It
 * is above that of reads without a fault, and leaves the rest of the fencing
 * timeout for the answers.
 */
export const QUERY_PEERS_AGE_MS = 1_500;

/** Age that stands for a log that was never read, in milliseconds. */
export const NEVER_READ_AGE_MS = 0xffff_ffff;

/** Options of {@linkcode catchUpFromPeer}. */
export type CatchUpOptions = {
  fold: ControlFold;
  follower: LogFollower;
  /** Monotonic time at which the answered heartbeat was sent. */
  sentAtMs: number;
};

/**
 * Uses what another entry host read of the log, as its answer to a heartbeat
 * tells, if this one lacks it. The contact counts from the time at which the
 * heartbeat was sent, less the age that the peer reported.
 *
 * @example
 * ```ts
 * await relayLog(link, { fold, follower, sentAtMs });
 * ```
 */
export async function catchUpFromPeer(
  link: PeerLink,
  options: CatchUpOptions,
): Promise<void> {
  const { fold, follower, sentAtMs } = options;
  const { nextOffset: target, logAgeMs } = link;
  const readAtMs = follower.readAtMs() ?? -Infinity;
  const isOld = performance.now() - readAtMs > CATCH_UP_AGE_MS;
  if (target > fold.state().nextOffset && isOld) {
    await follower.catchUp(link.client, target);
  }
  if (target > fold.state().nextOffset || logAgeMs >= NEVER_READ_AGE_MS) return;
  follower.notePeerRead(sentAtMs - logAgeMs);
}
