/**
 * Keeps what the callers of the port between members hold within limits.
 *
 * @module
 */

import type {
  Http2Server,
  Http2ServerRequest,
  Http2ServerResponse,
  Http2Session,
} from "node:http2";

/** Time between two checks of all sessions. */
const CHECK_INTERVAL_MS = 1_000;

/** Time in which a new session has to complete a call. */
const FIRST_CALL_TIMEOUT_MS = 10_000;

/** Time in which the message of a call has to arrive. */
const MESSAGE_TIMEOUT_MS = 5_000;

/** Bytes that a call costs besides its message. */
const CALL_BYTES = 4 * 1_024;

/** Limits on what the callers of the port hold. */
export type SessionLimits = {
  maxConnections: number;
  /** Bytes that calls in progress may hold. */
  maxBytes: number;
};

/** Open connection of a caller. */
export type SessionState = {
  startedMs: number;
  /** Calls that have been answered with success. */
  completedCalls: number;
  /** Bytes of the calls in progress. */
  heldBytes: number;
};

/**
 * Chooses the session to end for a new one: the oldest on which no call has
 * succeeded. Members call as soon as they connect.
 *
 * @example
 * ```ts
 * const session = chooseUnused(sessions);
 * ```
 */
export function chooseUnused<Session extends SessionState>(
  sessions: Iterable<Session>,
): Session | undefined {
  let oldest: Session | undefined;
  for (const session of sessions) {
    if (session.completedCalls > 0) continue;
    if (oldest === undefined || session.startedMs < oldest.startedMs) {
      oldest = session;
    }
  }
  return oldest;
}

/**
 * Chooses the session to end when calls in progress hold too many bytes: the
 * one that holds most, those on which no call has succeeded before others.
 *
 * @example
 * ```ts
 * const session = chooseLargest(sessions);
 * ```
 */
export function chooseLargest<Session extends SessionState>(
  sessions: Iterable<Session>,
): Session | undefined {
  let largest: Session | undefined;
  for (const session of sessions) {
    if (session.heldBytes === 0) continue;
    if (largest === undefined || isLarger(session, largest)) largest = session;
  }
  return largest;
}

function isLarger(one: SessionState, other: SessionState): boolean {
  const isOneUnused = one.completedCalls === 0;
  if (isOneUnused !== (other.completedCalls === 0)) return isOneUnused;
  return one.heldBytes > other.heldBytes;
}

/** Listener of an HTTP/2 server. */
export type SessionListener = (
  request: Http2ServerRequest,
  response: Http2ServerResponse,
) => void;

type Session = SessionState & { http2: Http2Session };

/** Guard of the port between members. */
export type SessionGuard = {
  /** Returns the listener that the server gets in place of `listener`. */
  wrap(listener: SessionListener): SessionListener;
  /** Watches the sessions of the server from now on. */
  watch(server: Http2Server): void;
  /** Ends all sessions. */
  close(): void;
};

/**
 * Creates the guard of the port between members.
 *
 * @example
 * ```ts
 * const guard = createSessionGuard({ maxConnections: 100, maxBytes });
 * const server = createServer(guard.wrap(listener));
 * guard.watch(server);
 * ```
 */
export function createSessionGuard(limits: SessionLimits): SessionGuard {
  const sessions = new Map<Http2Session, Session>();
  const requests = new Map<Http2ServerRequest, number>();
  let heldBytes = 0;

  const forget = (session: Session) => {
    if (!sessions.delete(session.http2)) return;
    heldBytes -= session.heldBytes;
    session.heldBytes = 0;
  };

  const end = (session: Session) => {
    forget(session);
    session.http2.destroy();
  };

  const hold = (session: Session, bytes: number) => {
    if (!sessions.has(session.http2)) return;
    session.heldBytes += bytes;
    heldBytes += bytes;
    while (heldBytes > limits.maxBytes) {
      const largest = chooseLargest(sessions.values());
      if (largest === undefined) return;
      end(largest);
    }
  };

  const addSession = (http2: Http2Session) => {
    const session: Session = {
      http2,
      startedMs: performance.now(),
      completedCalls: 0,
      heldBytes: 0,
    };
    if (sessions.size >= limits.maxConnections) {
      const unused = chooseUnused(sessions.values());
      if (unused === undefined) return http2.destroy();
      end(unused);
    }
    sessions.set(http2, session);
    http2.on("close", () => forget(session));
    http2.on("error", () => end(session));
  };

  const check = () => {
    const nowMs = performance.now();
    for (const session of sessions.values()) {
      const ageMs = nowMs - session.startedMs;
      const isUnused = session.completedCalls === 0 && session.heldBytes === 0;
      if (isUnused && ageMs > FIRST_CALL_TIMEOUT_MS) end(session);
    }
    for (const [request, startedMs] of requests) {
      const isLate = nowMs - startedMs > MESSAGE_TIMEOUT_MS;
      if (isLate && !request.complete) request.stream.close();
    }
  };

  return {
    wrap: (listener) => (request, response) => {
      const http2 = request.stream.session;
      const session = http2 === undefined ? undefined : sessions.get(http2);
      if (session === undefined) return request.stream.close();
      let callBytes = CALL_BYTES;
      hold(session, CALL_BYTES);
      requests.set(request, performance.now());
      // A listener for data would take the parts from the handler.
      const push = request.push.bind(request);
      request.push = (chunk: Buffer | null, encoding?: BufferEncoding) => {
        callBytes += chunk?.length ?? 0;
        hold(session, chunk?.length ?? 0);
        return push(chunk, encoding);
      };
      response.on("close", () => {
        requests.delete(request);
        if (response.statusCode === 200) session.completedCalls++;
        hold(session, -callBytes);
      });
      listener(request, response);
    },
    watch(server) {
      server.on("session", addSession);
      const timer = setInterval(() => setImmediate(check), CHECK_INTERVAL_MS);
      timer.unref();
      server.on("close", () => clearInterval(timer));
    },
    close() {
      for (const session of sessions.values()) session.http2.destroy();
    },
  };
}
