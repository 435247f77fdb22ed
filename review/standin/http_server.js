// Small HTTP server and client of the stand-ins; loopback only.

import { Agent, createServer, request } from "node:http";

/** Reads the whole body of a request or response. */
export async function readBody(stream) {
  const chunks = [];
  for await (const chunk of stream) chunks.push(chunk);
  return Buffer.concat(chunks);
}

/** Parses JSON; an empty object if that fails. */
export function parseJson(buffer) {
  try {
    return JSON.parse(buffer.toString("utf8"));
  } catch {
    return {};
  }
}

/**
 * Serves calls on a free port of a loopback address. `handle` returns
 * `{ status, body }`; undefined leaves the call without an answer for good.
 */
export async function serve(host, handle) {
  const sockets = new Set();
  const server = createServer((incoming, outgoing) => {
    incoming.on("error", () => undefined);
    outgoing.on("error", () => undefined);
    const run = async () => {
      const body = await readBody(incoming);
      const url = new URL(incoming.url, "http://localhost");
      const answer = await handle({
        method: incoming.method,
        path: url.pathname,
        query: url.searchParams,
        headers: incoming.headers,
        body,
      });
      if (answer === undefined) return;
      const isRaw = Buffer.isBuffer(answer.body);
      outgoing.writeHead(answer.status, {
        "content-type": isRaw ? "application/octet-stream" : "application/json",
      });
      outgoing.end(isRaw ? answer.body : JSON.stringify(answer.body ?? {}));
    };
    run().catch(() => outgoing.destroy());
  });
  server.keepAliveTimeout = 60_000;
  server.on("connection", (socket) => {
    sockets.add(socket);
    socket.on("close", () => sockets.delete(socket));
    socket.on("error", () => undefined);
  });
  await new Promise((resolve, reject) => {
    server.once("error", reject);
    server.listen(0, host, resolve);
  });
  return {
    address: `${host}:${server.address().port}`,
    close() {
      server.close();
      for (const socket of sockets) socket.destroy();
    },
  };
}

const agent = new Agent({ keepAlive: false });

/** Sends one request; resolves with undefined if no answer arrives in time. */
export function send({ method, address, path, headers, json, timeoutMs }) {
  return new Promise((resolve) => {
    const body = json === undefined ? undefined : JSON.stringify(json);
    const sent = request(`http://${address}${path}`, {
      method,
      agent,
      headers: {
        ...headers,
        ...(body === undefined ? {} : {
          "content-type": "application/json",
          "content-length": Buffer.byteLength(body),
        }),
      },
    });
    const timer = setTimeout(() => sent.destroy(), timeoutMs);
    const fail = () => {
      clearTimeout(timer);
      resolve(undefined);
    };
    sent.on("error", fail);
    sent.on("response", (response) => {
      readBody(response).then((buffer) => {
        clearTimeout(timer);
        resolve({ status: response.statusCode, body: parseJson(buffer) });
      }, fail);
    });
    sent.end(body);
  });
}
