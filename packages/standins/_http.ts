import { splitAddress } from "@lagoonloom/objects";
import type { IncomingMessage, RequestListener, Server } from "node:http";
import { createServer, type ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";

/** Listener of a stand-in. */
export type Standin = {
  /** IP address and port on which the stand-in listens. */
  address: string;
  close(): Promise<void>;
};

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

export async function readBody(request: IncomingMessage): Promise<Buffer> {
  const chunks: Buffer[] = [];
  for await (const chunk of request) chunks.push(chunk as Buffer);
  return Buffer.concat(chunks);
}

export async function readJson(request: IncomingMessage): Promise<unknown> {
  const body = await readBody(request);
  return body.length === 0 ? {} : JSON.parse(body.toString("utf8"));
}

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

export function urlOf(request: IncomingMessage): URL {
  return new URL(request.url ?? "/", "http://standin");
}

/** Answers 400 if the handler throws, for example on malformed JSON. */
export function withErrors(
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
