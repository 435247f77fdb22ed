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

/** Deadline of a call. */
export type PeerCallOptions = { timeoutMs: number; signal?: AbortSignal };

/** Client of one other entry host. */
export type PeerClient = {
  heartbeat(
    request: MessageInitShape<typeof HeartbeatRequestSchema>,
    call: PeerCallOptions,
  ): Promise<PeerOutcome<HeartbeatResponse>>;
  forward(
    request: MessageInitShape<typeof ForwardRequestSchema>,
    call: PeerCallOptions,
  ): Promise<PeerOutcome<ForwardResponse>>;
  awaitOutcome(
    request: MessageInitShape<typeof AwaitOutcomeRequestSchema>,
    call: PeerCallOptions,
  ): Promise<PeerOutcome<AwaitOutcomeResponse>>;
  /** Reads all chunks of the peer's folded state. */
  snapshot(call: PeerCallOptions): Promise<PeerOutcome<SnapshotChunk[]>>;
  tail(
    request: MessageInitShape<typeof TailRequestSchema>,
    call: PeerCallOptions,
  ): Promise<PeerOutcome<TailResponse>>;
  /** Ends the connection; calls in progress fail. */
  close(): void;
};

/** Options of {@linkcode createPeerClient}. */
export type PeerClientOptions = {
  key: string;
  maxMessageBytes?: number;
};

/** Errors of a connection that never came about. */
const NOT_CONNECTED = new Set([
  "ECONNREFUSED",
  "EHOSTUNREACH",
  "ENETUNREACH",
  "EADDRNOTAVAIL",
]);

/**
 * Creates a client of one other entry host. Calls never throw; each has a
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
      settle(() => client.heartbeat(request, { ...call, headers })),
    forward: (request, call) =>
      settle(() => client.forward(request, { ...call, headers })),
    awaitOutcome: (request, call) =>
      settle(() => client.awaitOutcome(request, { ...call, headers })),
    snapshot: (call) =>
      settle(async () => {
        const chunks: SnapshotChunk[] = [];
        for await (const chunk of client.snapshot({}, { ...call, headers })) {
          chunks.push(chunk);
        }
        return chunks;
      }),
    tail: (request, call) =>
      settle(() => client.tail(request, { ...call, headers })),
    close: () => sessionManager.abort(),
  };
}

async function settle<Response>(
  call: () => Promise<Response>,
): Promise<PeerOutcome<Response>> {
  try {
    return { type: "answered", response: await call() };
  } catch (error) {
    const codes = errorCodesOf(error);
    // The key is checked before the call is read, so that nothing ran.
    const isUnauthenticated = ConnectError.from(error).code ===
      Code.Unauthenticated;
    const isNotConnected = codes.some((code) => NOT_CONNECTED.has(code));
    return {
      type: "unreachable",
      mayHaveArrived: !isNotConnected && !isUnauthenticated,
      isConnectionRefused: codes.includes("ECONNREFUSED"),
      reason: error instanceof Error ? error.message : String(error),
    };
  }
}

/** Returns the system error codes of an error and its causes. */
function errorCodesOf(error: unknown): string[] {
  const codes: string[] = [];
  let current = error;
  // A chain of causes is short; the bound guards against a cycle.
  for (let depth = 0; depth < 8; depth++) {
    if (typeof current !== "object" || current === null) break;
    const { code, cause } = current as { code?: unknown; cause?: unknown };
    if (typeof code === "string") codes.push(code);
    current = cause;
  }
  return codes;
}
