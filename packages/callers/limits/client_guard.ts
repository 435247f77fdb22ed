/**
 * Keeps what the clients of an HTTP server hold within limits.
 *
 * @module
 */

import type {
  IncomingMessage,
  RequestListener,
  Server,
  ServerResponse,
} from "node:http";
import type { Socket } from "node:net";
import { isIdle, rankRefused } from "./choose_refused.ts";
import { type Client, createClient, describeClient } from "./_client.ts";
import {
  ANSWER_BYTES,
  type ClientLimits,
  CONNECTION_BYTES,
  REQUEST_BYTES,
} from "./client_limits.ts";

/** Time between two checks of all connections. */
const CHECK_INTERVAL_MS = 1_000;

/** Requests of a connection that are dropped before it is closed at once. */
const MAX_DROPPED_REQUESTS = 8;

/** Part of the limit to which a refusal of several clients reduces the use. */
const RELIEF = 7 / 8;

/** What a client was refused for. */
export type Refusal =
  /** The connections or all bytes were used up. */
  | "crowded"
  /** The bytes that its request or body needed were not free. */
  | "no-memory"
  /** It sent too many requests ahead of their answers. */
  | "ahead"
  /** It did not read its answers. */
  | "unread";

/** Limits of one server. */
export type GuardLimits = Pick<
  ClientLimits,
  "maxBytes" | "maxConnections" | "maxRequestsAhead" | "pauseRequests"
>;

/** Options of a guard. */
export type GuardOptions = {
  limits: GuardLimits;
  /** Returns the time for which a client may leave its answers unread. */
  idleTimeoutMs(): number;
  /** Reports a refused client. */
  onRefused(refusal: Refusal): void;
  /** Called at each check of the connections. */
  onCheck?(): void;
};

/** What the clients of a server hold. */
export type ClientUsage = {
  connections: number;
  requests: number;
  bytes: number;
};

/** Guard of one server. */
export type ClientGuard = {
  /** Returns the listener that the server gets in place of `listener`. */
  wrap(listener: RequestListener): RequestListener;
  /** Watches the connections of the server from now on. */
  watch(server: Server): void;
  /** Starts to read the body of a request; returns its budget. */
  beginBody(request: IncomingMessage): BodyHolding;
  usage(): ClientUsage;
};

/** Bytes that the body of one request holds. */
export type BodyHolding = {
  /** Sets the bytes that the body costs; returns false if it is refused. */
  hold(bytes: number): boolean;
  /** Sets what refuses the request while its body has not arrived. */
  onRefuse(refuse: () => void): void;
  /** Ends the receipt of the body. */
  end(): void;
};

/**
 * Creates the guard of a server. Requests beyond its limits are refused before
 * they are handled, or their connections are closed.
 *
 * @example
 * ```ts
 * const guard = createClientGuard({ limits, idleTimeoutMs, onRefused });
 * const server = createServer(guard.wrap(listener));
 * guard.watch(server);
 * ```
 */
export function createClientGuard(options: GuardOptions): ClientGuard {
  const { limits, onRefused } = options;
  const clients = new Map<Socket, Client>();
  let requests = 0;
  /** Bytes of requests that are handled, also after their client has left. */
  let usedBytes = 0;

  const forget = (client: Client) => {
    if (client.isClosed) return;
    client.isClosed = true;
    clients.delete(client.socket);
    usedBytes -= CONNECTION_BYTES + client.bodyBytes + client.unreadBytes;
    usedBytes -= client.openRequests * ANSWER_BYTES;
  };

  const destroy = (client: Client) => {
    forget(client);
    client.socket.destroy();
  };

  const refuse = (client: Client, refusal: Refusal) => {
    client.isRefused = true;
    onRefused(refusal);
    // While its only request is being received, nothing has run.
    if (client.openRequests === 1 && client.refuseBody !== undefined) {
      client.refuseBody();
    } else destroy(client);
  };

  /**
   * Refuses clients that weigh more than `self`, until connections and bytes
   * are within their limits. Returns whether they are.
   */
  const relieve = (bytes: number, self?: Client): boolean => {
    const nowMs = performance.now();
    const holders = [...clients.values()]
      .filter((client) => !client.isRefused)
      .map((client) => describeClient(client, nowMs));
    let connections = holders.length;
    let neededBytes = usedBytes + bytes;
    for (const holder of rankRefused(holders)) {
      const relief = isIdle(holder) ? 1 : RELIEF;
      const isEnough = connections <= limits.maxConnections * relief &&
        neededBytes <= limits.maxBytes * relief;
      if (isEnough || holder.client === self) break;
      refuse(holder.client, "crowded");
      connections--;
      neededBytes -= holder.heldBytes;
    }
    return connections <= limits.maxConnections &&
      usedBytes + bytes <= limits.maxBytes;
  };

  const makeRoom = (bytes: number, self?: Client): boolean =>
    usedBytes + bytes <= limits.maxBytes || relieve(bytes, self);

  const addConnection = (socket: Socket) => {
    const client = createClient(socket);
    clients.set(socket, client);
    usedBytes += CONNECTION_BYTES;
    socket.on("close", () => forget(client));
    const isWithin = clients.size <= limits.maxConnections &&
      usedBytes <= limits.maxBytes;
    if (!isWithin && !relieve(0, client)) refuse(client, "crowded");
  };

  const beginRequest = (client: Client, response: ServerResponse) => {
    requests++;
    client.openRequests++;
    usedBytes += REQUEST_BYTES + ANSWER_BYTES;
    if (client.openRequests >= limits.pauseRequests) client.reading.pause();
    response.on("close", () => {
      if (!client.isClosed) endRequest(client);
    });
  };

  /** A request stays in memory while it is handled, without its client too. */
  const endHandling = () => {
    requests--;
    usedBytes -= REQUEST_BYTES;
  };

  const endRequest = (client: Client) => {
    usedBytes -= ANSWER_BYTES;
    client.openRequests--;
    client.answeredRequests++;
    client.movedMs = performance.now();
    if (client.isClosing) {
      if (client.openRequests === 0) closeAfterAnswers(client.socket);
    } else if (2 * client.openRequests <= limits.pauseRequests) {
      client.reading.resume();
    }
  };

  /** Leaves a request unhandled, which came too far ahead. */
  const dropAhead = (client: Client) => {
    client.droppedRequests++;
    // Dropped requests stay in memory as long as their connection is open.
    if (client.droppedRequests > MAX_DROPPED_REQUESTS) {
      client.parsing.stop();
      return refuse(client, "ahead");
    }
    if (client.isClosing) return;
    stopReading(client);
    onRefused("ahead");
  };

  /** Handles no further request of a client, and then closes it. */
  const stopReading = (client: Client) => {
    client.isClosing = true;
    client.reading.pause();
  };

  const checkClient = (client: Client, nowMs: number) => {
    // A refusal or the last answers may be left unread, too.
    const isEnding = client.isRefused || client.socket.writableEnded;
    if (isEnding && nowMs - client.movedMs > CHECK_INTERVAL_MS) {
      return destroy(client);
    }
    const unread = client.socket.writableLength;
    if (unread < client.unreadBytes) client.movedMs = nowMs;
    if (client.unreadBytes === 0) client.unreadSinceMs = nowMs;
    usedBytes += unread - client.unreadBytes;
    client.unreadBytes = unread;
    const idleMs = nowMs - Math.max(client.movedMs, client.unreadSinceMs);
    if (unread > 0 && idleMs > options.idleTimeoutMs()) {
      refuse(client, "unread");
    }
  };

  const check = () => {
    const nowMs = performance.now();
    for (const client of clients.values()) checkClient(client, nowMs);
    makeRoom(0);
    options.onCheck?.();
  };

  return {
    wrap: (listener) => (request, response) => {
      const client = clients.get(request.socket);
      // What arrives after a client was refused is not handled.
      if (client === undefined || client.isRefused) return;
      if (client.isClosing || client.openRequests >= limits.maxRequestsAhead) {
        return dropAhead(client);
      }
      if (request.httpVersion === "1.1" && request.headers.host === undefined) {
        stopReading(client);
        response.writeHead(400, { Connection: "close" }).end();
        return;
      }
      if (!makeRoom(REQUEST_BYTES + ANSWER_BYTES, client)) {
        onRefused("no-memory");
        stopReading(client);
        return respondCrowded(response);
      }
      beginRequest(client, response);
      void Promise.resolve(listener(request, response))
        .then(endHandling, endHandling);
    },
    watch(server) {
      server.on("connection", addConnection);
      const timer = setInterval(() => setImmediate(check), CHECK_INTERVAL_MS);
      timer.unref();
      server.on("close", () => clearInterval(timer));
    },
    beginBody(request) {
      const client = clients.get(request.socket) ??
        createClient(request.socket);
      let heldBytes = 0;
      let isEnded = false;
      client.receiving++;
      client.movedMs = performance.now();
      return {
        hold(bytes) {
          client.movedMs = performance.now();
          const more = bytes - heldBytes;
          if (more <= 0) return true;
          if (client.isClosed || client.isRefused) return false;
          if (!makeRoom(more, client)) {
            onRefused("no-memory");
            return false;
          }
          heldBytes = bytes;
          client.bodyBytes += more;
          usedBytes += more;
          return true;
        },
        onRefuse(refuseBody) {
          client.refuseBody = refuseBody;
        },
        end() {
          if (isEnded) return;
          isEnded = true;
          client.receiving--;
          client.refuseBody = undefined;
          if (client.isClosed) return;
          client.bodyBytes -= heldBytes;
          usedBytes -= heldBytes;
        },
      };
    },
    usage: () => ({ connections: clients.size, requests, bytes: usedBytes }),
  };
}

/** Sends what was answered and closes the connection. */
function closeAfterAnswers(socket: Socket): void {
  socket.end(() => socket.destroy());
}

/** Responds that the request was not handled and may be repeated. */
function respondCrowded(response: ServerResponse): void {
  response.writeHead(503, {
    "Retry-After": "1",
    "Connection": "close",
    "Content-Length": "0",
  }).end();
}
