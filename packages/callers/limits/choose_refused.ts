/**
 * Decides which clients are refused when all together hold too much.
 *
 * Answers crowds of clients that hold memory or connections without need: with
 * bodies that stop short of their end, requests ahead whose answers they do not
 * read, or connections on which nothing is sent.
 *
 * @module
 */

/** What the client of a connection holds. */
export type Holder = {
  /** Bytes that it costs. */
  heldBytes: number;
  /** Requests that have no complete answer yet. */
  openRequests: number;
  /** Whether one of these has not been received whole. */
  isReceiving: boolean;
  /** Bytes of answers that were not taken from the process. */
  unreadBytes: number;
  /** Requests that have been answered. */
  answeredRequests: number;
  /** Time since the client last sent a part or took an answer. */
  stalledMs: number;
};

/**
 * Returns whether a client keeps to the limits and only waits for the process:
 * it has sent one whole request and reads its answers. It is never refused for
 * the sake of another one.
 */
export function isWaiting(holder: Holder): boolean {
  return holder.openRequests === 1 && !holder.isReceiving &&
    holder.unreadBytes === 0;
}

/** Returns whether a connection is idle after its requests were answered. */
export function isIdle(holder: Holder): boolean {
  return holder.openRequests === 0 && holder.unreadBytes === 0 &&
    holder.answeredRequests > 0;
}

/** Weighs what a client holds by the time for which it has not moved. */
function weigh(holder: Holder): number {
  return holder.heldBytes * (1 + holder.stalledMs);
}

/**
 * Returns the clients that may be refused, in this order: those that hold most
 * and move least, then connections that are idle between requests, whose
 * clients can open new ones without a loss.
 *
 * @example
 * ```ts
 * const [first] = rankRefused(clients.map(describe));
 * ```
 */
export function rankRefused<Client extends Holder>(
  clients: readonly Client[],
): Client[] {
  return clients
    .filter((client) => !isWaiting(client))
    .sort((one, other) =>
      Number(isIdle(one)) - Number(isIdle(other)) ||
      weigh(other) - weigh(one)
    );
}
