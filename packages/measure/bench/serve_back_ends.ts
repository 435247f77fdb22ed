/**
 * Back ends of the benchmark, which do as little work as possible.
 *
 * @module
 */

import { createLogStore, serveLog } from "@lagoonloom/standins";
import { once } from "node:events";
import { createServer } from "node:http";
import type { AddressInfo } from "node:net";

/** Addresses of the back ends of the benchmark. */
export type BackEnds = { log: string; executors: string[] };

/** Number of executors. */
const EXECUTOR_COUNT = 8;

/**
 * Starts a log and executors that echo the request's body immediately.
 *
 * @example
 * ```ts
 * const { log, executors } = await serveBackEnds();
 * ```
 */
export async function serveBackEnds(): Promise<BackEnds> {
  const log = await serveLog(createLogStore(), "127.0.0.1:0");
  const executors = await Promise.all(
    Array.from({ length: EXECUTOR_COUNT }, () => serveExecutor()),
  );
  return { log: log.address, executors };
}

async function serveExecutor(): Promise<string> {
  const server = createServer((request, response) => {
    const chunks: Buffer[] = [];
    request.on("data", (chunk: Buffer) => chunks.push(chunk));
    request.on("end", () => {
      const body = Buffer.concat(chunks);
      const id = request.headers["x-request-id"];
      response.writeHead(200, {
        "content-type": "application/octet-stream",
        "content-length": body.length,
        ...(id !== undefined && { "x-request-id": id }),
      });
      response.end(body);
    });
  });
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  return `127.0.0.1:${(server.address() as AddressInfo).port}`;
}
