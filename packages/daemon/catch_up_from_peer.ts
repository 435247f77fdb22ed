/**
 * Catch-up from other entry hosts while this one can't read the log.
 *
 * @module
 */

import type { ControlFold } from "./control_fold.ts";
import type { LogFollower } from "./log_follower.ts";
import type { PeerLink, PeerLinks } from "./peer_links.ts";

/**
 * Time since the last read of the log, in milliseconds, after which records are
 * fetched from peers. While the log is reachable, a read takes this long only
 * if there are no new records.
 */
const CATCH_UP_AGE_MS = 1_000;

/**
 * Time since the last read of the log, in milliseconds, after which heartbeats
 * are sent to all peers to learn when they read the log. It is longer than a
 * read without a fault, and leaves the rest of the fencing timeout for the
 * answers.
 */
export const QUERY_PEERS_AGE_MS = 1_500;

/** Time since the last read, in milliseconds, if the log was never read. */
export const NEVER_READ_AGE_MS = 0xffff_ffff;

/** Options of {@linkcode catchUpFromPeer}. */
export type CatchUpOptions = {
  fold: ControlFold;
  follower: LogFollower;
  links: PeerLinks;
  /** Monotonic time at which the answered heartbeat was sent. */
  sentAtMs: number;
};

/**
 * Catches up from another entry host after it answered a heartbeat, if it read
 * the log more recently. Its read counts as one of this entry host, made at the
 * time at which the heartbeat was sent, less the age that the peer reported.
 * The first state is loaded once no other peer may still report a newer one.
 *
 * @example
 * ```ts
 * await catchUpFromPeer(link, { fold, follower, links, sentAtMs });
 * ```
 */
export async function catchUpFromPeer(
  link: PeerLink,
  options: CatchUpOptions,
): Promise<void> {
  const { fold, follower, links, sentAtMs } = options;
  if (!follower.isLoaded() && !isNewestPeer(link, links)) return;
  const { nextOffset: target, logAgeMs } = link;
  const readAtMs = follower.readAtMs() ?? -Infinity;
  const isOld = performance.now() - readAtMs > CATCH_UP_AGE_MS;
  if (target > fold.state().nextOffset && isOld) {
    await follower.catchUp(link.client, target);
  }
  if (target > fold.state().nextOffset || logAgeMs >= NEVER_READ_AGE_MS) return;
  follower.notePeerRead(sentAtMs - logAgeMs);
}

/** Returns whether no other peer is known, or may turn out, to be newer. */
function isNewestPeer(link: PeerLink, links: PeerLinks): boolean {
  const nowMs = performance.now();
  return links.all().every((other) =>
    !links.isFirstAnswerPending(other, nowMs) &&
    (!links.isReachable(other, nowMs) || other.nextOffset <= link.nextOffset)
  );
}
