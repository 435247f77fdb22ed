import type { Socket } from "node:net";
import type { Holder } from "./choose_refused.ts";
import { CONNECTION_BYTES, REQUEST_BYTES } from "./client_limits.ts";
import { createParserStop, type ParserStop } from "./parser_stop.ts";
import { createSocketPause, type SocketPause } from "./socket_pause.ts";

/** State of the client of one connection. */
export type Client = {
  socket: Socket;
  reading: SocketPause;
  parsing: ParserStop;
  openRequests: number;
  answeredRequests: number;
  /** Requests that were not handled, since they came too far ahead. */
  droppedRequests: number;
  /** Requests whose bodies are being received. */
  receiving: number;
  bodyBytes: number;
  /** Bytes of answers that had not been taken at the last check. */
  unreadBytes: number;
  unreadSinceMs: number;
  /** Monotonic time of the last part that was sent or answer that was taken. */
  movedMs: number;
  /** Answers the request that is being received with a refusal. */
  refuseBody: (() => void) | undefined;
  isRefused: boolean;
  /** Whether the connection is closed after the answers to its requests. */
  isClosing: boolean;
  isClosed: boolean;
};

/** Creates the state of a connection. */
export function createClient(socket: Socket): Client {
  const nowMs = performance.now();
  return {
    socket,
    reading: createSocketPause(socket),
    parsing: createParserStop(socket),
    openRequests: 0,
    answeredRequests: 0,
    droppedRequests: 0,
    receiving: 0,
    bodyBytes: 0,
    unreadBytes: 0,
    unreadSinceMs: nowMs,
    movedMs: nowMs,
    refuseBody: undefined,
    isRefused: false,
    isClosing: false,
    isClosed: false,
  };
}

/** Describes a client for the decision whom to refuse. */
export function describeClient(
  client: Client,
  nowMs: number,
): Holder & { client: Client } {
  return {
    client,
    heldBytes: CONNECTION_BYTES + client.openRequests * REQUEST_BYTES +
      client.bodyBytes + client.unreadBytes,
    openRequests: client.openRequests,
    isReceiving: client.receiving > 0,
    unreadBytes: client.unreadBytes,
    answeredRequests: client.answeredRequests,
    stalledMs: nowMs - client.movedMs,
  };
}
