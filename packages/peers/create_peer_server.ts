/**
 * RPC server for the other entry hosts.
 *
 * @module
 */

import { connectNodeAdapter } from "@connectrpc/connect-node";
import { createHash, timingSafeEqual } from "node:crypto";
import {
  createServer,
  type Http2ServerRequest,
  type Http2ServerResponse,
  type ServerHttp2Session,
} from "node:http2";
import type { AddressInfo } from "node:net";
import { PeerService } from "./gen/lagoonloom/peers/v1/peers_pb.ts";
import type { PeerHandlers } from "./peer_handlers.ts";

/** Largest message in bytes; fits a response of 1 MiB with its headers. */
export const MAX_PEER_MESSAGE_BYTES = 4 * 1_024 * 1_024;

/** Longest deadline that a call may have. */
const MAX_DEADLINE_MS = 60_000;

/** Server for the calls of other entry hosts. */
export type PeerServer = {
  /** IP address and port on which the server listens. */
  address: string;
  /** Ends all connections and stops listening. */
  close(): Promise<void>;
};

/** Options of {@linkcode createPeerServer}. */
export type PeerServerOptions = {
  host: string;
  port: number;
  /** Key that every call has to carry as its bearer token. */
  key: string;
  /** Largest message in bytes. */
  maxMessageBytes?: number;
};

/**
 * Starts the server for the calls of other entry hosts. It uses HTTP/2, whose
 * header compression keeps heartbeats small. A call without the shared key gets
 * the status 401 before its body is read.
 *
 * @example
 * ```ts
 * const server = await createPeerServer(handlers, { host, port, key });
 * ```
 */
export async function createPeerServer(
  handlers: PeerHandlers,
  options: PeerServerOptions,
): Promise<PeerServer> {
  const handle = createAdapter(handlers, options);
  const expected = hash(`Bearer ${options.key}`);
  const sessions = new Set<ServerHttp2Session>();
  const server = createServer((request, response) => {
    if (isAuthorized(request, expected)) return handle(request, response);
    refuse(response);
  });
  server.on("session", (session) => {
    sessions.add(session);
    session.on("close", () => sessions.delete(session));
    session.on("error", () => session.destroy());
  });
  await new Promise<void>((resolve, reject) => {
    server.once("error", reject);
    server.listen(options.port, options.host, resolve);
  });
  const { port } = server.address() as AddressInfo;
  return {
    address: `${options.host}:${port}`,
    close: () =>
      new Promise((resolve) => {
        server.close(() => resolve());
        for (const session of sessions) session.destroy();
      }),
  };
}

function createAdapter(handlers: PeerHandlers, options: PeerServerOptions) {
  const maxBytes = options.maxMessageBytes ?? MAX_PEER_MESSAGE_BYTES;
  return connectNodeAdapter({
    grpc: false,
    grpcWeb: false,
    readMaxBytes: maxBytes,
    writeMaxBytes: maxBytes,
    maxTimeoutMs: MAX_DEADLINE_MS,
    acceptCompression: [],
    routes: (router) =>
      router.service(PeerService, {
        heartbeat: (request) => handlers.heartbeat(request),
        forward: (request, { signal }) => handlers.forward(request, signal),
        awaitOutcome: (request, { signal }) =>
          handlers.awaitOutcome(request, signal),
        async *snapshot() {
          yield* handlers.snapshot();
        },
        tail: (request) => handlers.tail(request),
      }),
  });
}

/** Hashes a value, since `timingSafeEqual` needs inputs of equal length. */
function hash(value: string): Buffer {
  return createHash("sha256").update(value).digest();
}

function isAuthorized(request: Http2ServerRequest, expected: Buffer): boolean {
  const header = request.headers.authorization ?? "";
  return timingSafeEqual(hash(header), expected);
}

function refuse(response: Http2ServerResponse): void {
  response.writeHead(401);
  response.end();
}
