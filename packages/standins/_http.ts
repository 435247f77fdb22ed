/**
 * Helpers for the HTTP servers of the stand-ins.
 *
 * @module
 */

import { splitAddress } from "@lagoonloom/objects";
import type { IncomingMessage, RequestListener, Server } from "node:http";
import { createServer, type ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";

/** Server of a stand-in. */
export type Standin = {
  /** IP address and port on which the stand-in listens. */
  address: string;
  /** Stops listening and closes all connections. */
  close(): Promise<void>;
};

/** Starts an HTTP server; port 0 selects a free port. */
export async function listen(
  listener: RequestListener,
  address: string,
): Promise<Standin & { server: Server }> {
  const server = createServer(listener);
  const { host, port } = splitAddress(address);
  await new Promise<void>((resolve, reject) => {
    server.once("error", reject);
    server.listen(port, host, resolve);
  });
  const bound = server.address() as AddressInfo;
  return {
    server,
    address: `${host}:${bound.port}`,
    close: () =>
      new Promise((resolve) => {
        server.close(() => resolve());
        server.closeAllConnections();
      }),
  };
}

/** Reads the whole body of a request. */
export async function readBody(request: IncomingMessage): Promise<Buffer> {
  const chunks: Buffer[] = [];
  for await (const chunk of request) chunks.push(chunk as Buffer);
  return Buffer.concat(chunks);
}

/** Parses the body of a request as JSON; an empty body counts as `{}`. */
export async function readJson(request: IncomingMessage): Promise<unknown> {
  const body = await readBody(request);
  return body.length === 0 ? {} : JSON.parse(body.toString("utf8"));
}

/** Sends a response with a JSON body. */
export function sendJson(
  response: ServerResponse,
  status: number,
  body: unknown,
): void {
  const text = JSON.stringify(body);
  response.writeHead(status, {
    "content-type": "application/json",
    "content-length": Buffer.byteLength(text),
  });
  response.end(text);
}

/** Parses the URL of a request; its host has no meaning. */
export function parseUrl(request: IncomingMessage): URL {
  return new URL(request.url ?? "/", "http://standin");
}

/**
 * Wraps a handler so that an error, for example on malformed JSON, is answered
 * with 400.
 */
export function withErrorHandling(
  handler: (
    request: IncomingMessage,
    response: ServerResponse,
  ) => Promise<void>,
): RequestListener {
  return (request, response) => {
    handler(request, response).catch((error: unknown) => {
      if (response.headersSent) response.destroy();
      else sendJson(response, 400, { message: String(error) });
    });
  };
}
