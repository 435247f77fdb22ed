/**
 * Limits on what all clients together may hold in a process.
 *
 * @module
 */

/** Bytes that an open connection costs, with its parser and buffers. */
export const CONNECTION_BYTES = 12 * 1_024;

/** Bytes that a request costs while it is handled. */
export const REQUEST_BYTES = 24 * 1_024;

/** Bytes that an answer costs its connection until it is sent. */
export const ANSWER_BYTES = 12 * 1_024;

const MB = 1_024 * 1_024;

/** Part of the memory that clients may hold: one of this many. */
const MEMORY_DIVISOR = 5;

/** Part of the heap's limit that clients may hold: one of this many. */
const HEAP_DIVISOR = 2;

/** Part of the sockets kept for the store, executors and members. */
const OWN_SOCKET_DIVISOR = 4;

/** Part of the sockets kept for calls of other members. */
const PEER_SOCKET_DIVISOR = 8;

/** Sockets of the probe's port, and of the metrics'. */
const PROBE_SOCKETS = 24;

/** Smallest number of connections with which callers can be served. */
const MIN_CONNECTIONS = 32;

/** What the machine allows a process. */
export type ProcessResources = {
  memoryBytes: number;
  /** Largest size of the heap. */
  heapBytes: number;
  /** Descriptors that are not reserved for files. */
  sockets: number;
};

/** Limits on what clients hold. */
export type ClientLimits = {
  /** Bytes that connections, requests, bodies and answers may cost. */
  maxBytes: number;
  /** Open connections of callers. */
  maxConnections: number;
  /** Requests of one connection that are read ahead of their answers. */
  maxRequestsAhead: number;
  /** Requests of one connection at which no more of it is read. */
  pauseRequests: number;
  /** Chunks a second in bodies of very small chunks. */
  smallChunksPerS: number;
  /** Open connections of the probe's port, and of the metrics'. */
  maxProbeConnections: number;
  /** Open connections of other members. */
  maxPeerConnections: number;
  /** Bytes that unfinished calls of other members may hold. */
  maxPeerBytes: number;
};

/** Limits that the settings name. */
export type SetLimits = {
  [Name in keyof ClientLimits]?: ClientLimits[Name] | undefined;
};

/**
 * Derives the limits from what the machine allows, where `set` has no value.
 *
 * @example
 * ```ts
 * const limits = deriveClientLimits(resources, { maxConnections: 500 });
 * ```
 */
export function deriveClientLimits(
  { memoryBytes, heapBytes, sockets }: ProcessResources,
  set: SetLimits = {},
): ClientLimits {
  const maxBytes = set.maxBytes ?? Math.floor(
    Math.min(memoryBytes / MEMORY_DIVISOR, heapBytes / HEAP_DIVISOR),
  );
  const maxPeerConnections = set.maxPeerConnections ??
    Math.max(1, Math.floor(sockets / PEER_SOCKET_DIVISOR));
  const maxProbeConnections = set.maxProbeConnections ?? PROBE_SOCKETS;
  const freeSockets = sockets - Math.floor(sockets / OWN_SOCKET_DIVISOR) -
    maxPeerConnections - 2 * maxProbeConnections;
  // Idle connections must leave half of the bytes to requests.
  const affordable = Math.floor(maxBytes / 2 / CONNECTION_BYTES);
  return {
    maxBytes,
    maxConnections: set.maxConnections ?? Math.min(freeSockets, affordable),
    maxRequestsAhead: set.maxRequestsAhead ?? 100,
    pauseRequests: set.pauseRequests ?? 16,
    smallChunksPerS: set.smallChunksPerS ?? 100_000,
    maxProbeConnections,
    maxPeerConnections,
    maxPeerBytes: set.maxPeerBytes ?? Math.max(MB, Math.floor(maxBytes / 4)),
  };
}

/** Returns what is wrong with limits, if anything. */
export function checkClientLimits(
  limits: ClientLimits,
  { sockets }: Pick<ProcessResources, "sockets">,
): string[] {
  const problems: string[] = [];
  if (limits.maxConnections < MIN_CONNECTIONS) {
    problems.push(
      `maxConnections: ${limits.maxConnections} is below ${MIN_CONNECTIONS}`,
    );
  }
  // At one request, the body of that request would not be read either.
  if (limits.pauseRequests < 2) problems.push("pauseRequests: is below 2");
  if (limits.pauseRequests > limits.maxRequestsAhead) {
    problems.push("pauseRequests: must not exceed maxRequestsAhead");
  }
  const used = limits.maxConnections + limits.maxPeerConnections +
    2 * limits.maxProbeConnections;
  if (used >= sockets) {
    problems.push(
      `the connections of all ports, ${used}, use all ${sockets} sockets`,
    );
  }
  const leastBytes = MIN_CONNECTIONS * (CONNECTION_BYTES + REQUEST_BYTES);
  if (limits.maxBytes < leastBytes) {
    problems.push(`maxBytes: ${limits.maxBytes} is below ${leastBytes}`);
  }
  return problems;
}
