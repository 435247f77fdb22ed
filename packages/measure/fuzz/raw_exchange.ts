/**
 * Sends raw bytes over TCP.
 *
 * @module
 */

import { once } from "node:events";
import { type AddressInfo, connect, type Server } from "node:net";

/** Time in milliseconds within which a server must close the connection. */
const RESPONSE_TIMEOUT_MS = 10_000;

/** Server that a property is checked against. */
export type ListeningServer = { port: number; close(): Promise<void> };

/**
 * Listens on a free port of the loopback address.
 *
 * @example
 * ```ts
 * const { port, close } = await listenOnLoopback(createServer());
 * ```
 */
export async function listenOnLoopback(
  server: Server,
): Promise<ListeningServer> {
  const sockets = new Set<{ destroy(): void }>();
  server.on("connection", (socket) => {
    sockets.add(socket);
    socket.on("close", () => sockets.delete(socket));
  });
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  return {
    port: (server.address() as AddressInfo).port,
    async close() {
      const closed = once(server, "close");
      server.close();
      for (const socket of sockets) socket.destroy();
      await closed;
    },
  };
}

/**
 * Sends pieces of bytes one after the other, half-closes the connection and
 * returns what the server sends until it closes.
 *
 * @throws {Error} If the server does not close within 10 s.
 *
 * @example
 * ```ts
 * const answer = await sendRaw(port, [Buffer.from("GET / HTTP/1.1\r\n")]);
 * ```
 */
export async function sendRaw(
  port: number,
  pieces: readonly Uint8Array[],
): Promise<string> {
  const socket = connect(port, "127.0.0.1");
  const answer: Buffer[] = [];
  let isClosed = false;
  const closed = new Promise<void>((resolve, reject) => {
    const timer = setTimeout(() => {
      socket.destroy();
      reject(
        new Error(`The server did not close after ${describe(pieces)}.`),
      );
    }, RESPONSE_TIMEOUT_MS);
    socket.on("close", () => {
      isClosed = true;
      clearTimeout(timer);
      resolve();
    });
  });
  socket.on("data", (data: Buffer) => answer.push(data));
  socket.on("error", () => undefined);
  for (const piece of pieces) {
    if (isClosed) break;
    socket.write(piece);
    await new Promise((resolve) => setImmediate(resolve));
  }
  if (!isClosed) socket.end();
  await closed;
  return Buffer.concat(answer).toString("latin1");
}

function describe(pieces: readonly Uint8Array[]): string {
  const text = Buffer.concat(pieces).toString("latin1");
  return JSON.stringify(text.slice(0, 500));
}

/**
 * Splits bytes at positions, which are taken modulo the length plus one.
 *
 * @example
 * ```ts
 * splitBytes(Buffer.from("abc"), [1]); // "a", "bc"
 * ```
 */
export function splitBytes(
  bytes: Buffer,
  splitPoints: readonly number[],
): Buffer[] {
  const sorted = [...new Set(splitPoints.map((at) => at % (bytes.length + 1)))]
    .sort((a, b) => a - b);
  return [0, ...sorted].map((from, index) =>
    bytes.subarray(from, sorted[index] ?? bytes.length)
  ).filter((piece) => piece.length > 0);
}
