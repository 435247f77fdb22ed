/**
 * RPC client for the other entry hosts.
 *
 * @module
 */

import type { MessageInitShape } from "@bufbuild/protobuf";
import { Code, ConnectError, createClient } from "@connectrpc/connect";
import {
  createConnectTransport,
  Http2SessionManager,
} from "@connectrpc/connect-node";
import { MAX_PEER_MESSAGE_BYTES } from "./create_peer_server.ts";
import {
  type AwaitOutcomeRequestSchema,
  type AwaitOutcomeResponse,
  type ForwardRequestSchema,
  type ForwardResponse,
  type HeartbeatRequestSchema,
  type HeartbeatResponse,
  PeerService,
  type SnapshotChunk,
  type TailRequestSchema,
  type TailResponse,
} from "./gen/lagoonloom/peers/v1/peers_pb.ts";

/** Outcome of a call to another entry host. */
export type PeerOutcome<Response> =
  | { type: "answered"; response: Response }
  | {
    type: "unreachable";
    /** Whether the peer may have received the call. */
    mayHaveArrived: boolean;
    /** Whether nothing listens at the peer's address. */
    isConnectionRefused: boolean;
    reason: string;
  };

/** Deadline of a call, and a signal that aborts it. */
export type PeerCallOptions = { timeoutMs: number; signal?: AbortSignal };

/** Client of one entry host. */
export type PeerClient = {
  /** Exchanges liveness, offsets and free slots. */
  heartbeat(
    request: MessageInitShape<typeof HeartbeatRequestSchema>,
    call: PeerCallOptions,
  ): Promise<PeerOutcome<HeartbeatResponse>>;
  /** Lets the peer run a request on one of its slots. */
  forward(
    request: MessageInitShape<typeof ForwardRequestSchema>,
    call: PeerCallOptions,
  ): Promise<PeerOutcome<ForwardResponse>>;
  /**
   * Waits for the outcome of a non-idempotent request that the peer handles.
   */
  awaitOutcome(
    request: MessageInitShape<typeof AwaitOutcomeRequestSchema>,
    call: PeerCallOptions,
  ): Promise<PeerOutcome<AwaitOutcomeResponse>>;
  /** Reads all chunks of the state that the peer built from the log. */
  snapshot(call: PeerCallOptions): Promise<PeerOutcome<SnapshotChunk[]>>;
  /** Reads records of the log that the peer has in memory. */
  tail(
    request: MessageInitShape<typeof TailRequestSchema>,
    call: PeerCallOptions,
  ): Promise<PeerOutcome<TailResponse>>;
  /** Ends the connection; calls in progress fail. */
  close(): void;
};

/** Options of {@linkcode createPeerClient}. */
export type PeerClientOptions = {
  /** Key that the entry hosts share. */
  key: string;
  /** Largest message in bytes. */
  maxMessageBytes?: number;
};

/** System errors of a connection that was never established. */
const CONNECT_ERRORS = new Set([
  "ECONNREFUSED",
  "EHOSTUNREACH",
  "ENETUNREACH",
  "EADDRNOTAVAIL",
]);

/**
 * Creates a client of one entry host. Calls never throw; each has a
 * deadline, after which its outcome is `unreachable`.
 *
 * @example
 * ```ts
 * const peer = createPeerClient("127.0.0.1:7201", { key });
 * const outcome = await peer.tail({ fromOffset: 4n }, { timeoutMs: 500 });
 * ```
 */
export function createPeerClient(
  address: string,
  options: PeerClientOptions,
): PeerClient {
  const baseUrl = `http://${address}`;
  const maxBytes = options.maxMessageBytes ?? MAX_PEER_MESSAGE_BYTES;
  const sessionManager = new Http2SessionManager(baseUrl);
  const client = createClient(
    PeerService,
    createConnectTransport({
      baseUrl,
      httpVersion: "2",
      sessionManager,
      readMaxBytes: maxBytes,
      writeMaxBytes: maxBytes,
      acceptCompression: [],
    }),
  );
  const headers = { authorization: `Bearer ${options.key}` };
  return {
    heartbeat: (request, call) =>
      toOutcome(() => client.heartbeat(request, { ...call, headers })),
    forward: (request, call) =>
      toOutcome(() => client.forward(request, { ...call, headers })),
    awaitOutcome: (request, call) =>
      toOutcome(() => client.awaitOutcome(request, { ...call, headers })),
    snapshot: (call) =>
      toOutcome(async () => {
        const chunks: SnapshotChunk[] = [];
        for await (const chunk of client.snapshot({}, { ...call, headers })) {
          chunks.push(chunk);
        }
        return chunks;
      }),
    tail: (request, call) =>
      toOutcome(() => client.tail(request, { ...call, headers })),
    close: () => sessionManager.abort(),
  };
}

/** Makes a call and turns errors into the outcome `unreachable`. */
async function toOutcome<Response>(
  call: () => Promise<Response>,
): Promise<PeerOutcome<Response>> {
  try {
    return { type: "answered", response: await call() };
  } catch (error) {
    const codes = collectErrorCodes(error);
    // The peer checks the key before it reads the call, so nothing ran.
    const isUnauthenticated = ConnectError.from(error).code ===
      Code.Unauthenticated;
    const isNotConnected = codes.some((code) => CONNECT_ERRORS.has(code));
    return {
      type: "unreachable",
      mayHaveArrived: !isNotConnected && !isUnauthenticated,
      isConnectionRefused: codes.includes("ECONNREFUSED"),
      reason: error instanceof Error ? error.message : String(error),
    };
  }
}

/** Returns the system error codes of an error and its causes. */
function collectErrorCodes(error: unknown): string[] {
  const codes: string[] = [];
  let current = error;
  // Chains of causes are short; the limit guards against a cycle.
  for (let depth = 0; depth < 8; depth++) {
    if (typeof current !== "object" || current === null) break;
    const { code, cause } = current as { code?: unknown; cause?: unknown };
    if (typeof code === "string") codes.push(code);
    current = cause;
  }
  return codes;
}
