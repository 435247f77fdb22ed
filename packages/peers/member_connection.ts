/**
 * Connection to another member.
 *
 * @module
 */

import {
  type Client,
  Code,
  ConnectError,
  createClient,
} from "@connectrpc/connect";
import {
  createConnectTransport,
  Http2SessionManager,
} from "@connectrpc/connect-node";
import { connect, type Socket } from "node:net";
import { OwnerService } from "./gen/lagoonloom/peers/v1/owners_pb.ts";

/**
 * Time in which a connection has to be established. All calls to the member
 * share it, and the next packet after lost ones is sent only seconds later.
 */
const CONNECT_TIMEOUT_MS = 1_200;

/** Time without calls after which a connection is closed. */
const IDLE_TIMEOUT_MS = 60_000;

/** Time after which a session has reported that it failed. */
const RETIRE_DELAY_MS = 200;

/** Connection to a member, which is opened with the first call. */
export type MemberConnection = {
  client: Client<typeof OwnerService>;
  /** `connecting`, `open`, `idle`, `closed` or `error`. */
  state(): string;
  /** Ends the connection; calls in progress fail. */
  close(): void;
  /** Ends it a little later. */
  retire(): void;
};

/**
 * Creates a connection to the member at an address.
 *
 * @example
 * ```ts
 * const connection = createMemberConnection("127.0.0.1:7060");
 * await connection.client.reach({}, { timeoutMs: 500 });
 * ```
 */
export function createMemberConnection(address: string): MemberConnection {
  const baseUrl = `http://${address}`;
  const sessionManager = new Http2SessionManager(
    baseUrl,
    // Not its pings: a call that ends stops the timer of any open one.
    { idleConnectionTimeoutMs: IDLE_TIMEOUT_MS },
    { createConnection: openSocket },
  );
  const client = createClient(
    OwnerService,
    createConnectTransport({
      baseUrl,
      httpVersion: "2",
      sessionManager,
      acceptCompression: [],
    }),
  );
  const close = () => {
    const reason = "the connection is closed";
    sessionManager.abort(new ConnectError(reason, Code.Unavailable));
  };
  return {
    client,
    state: () => sessionManager.state(),
    close,
    // The library does not catch the error of a session that is ended between
    // its failure and the event that reports it.
    retire: () => void setTimeout(close, RETIRE_DELAY_MS).unref(),
  };
}

/** Opens a socket that is destroyed unless it is connected in time. */
function openSocket({ hostname, port }: URL): Socket {
  const socket = connect(Number(port), hostname);
  const timer = setTimeout(() => {
    const message = `not connected within ${CONNECT_TIMEOUT_MS} ms`;
    socket.destroy(Object.assign(new Error(message), { code: "ETIMEDOUT" }));
  }, CONNECT_TIMEOUT_MS);
  socket.once("connect", () => clearTimeout(timer));
  socket.once("close", () => clearTimeout(timer));
  return socket;
}
