/**
 * Plain HTTP proxy that the benchmark compares the daemon with.
 *
 * @module
 */

import got from "got";
import Koa from "koa";
import { once } from "node:events";
import { Agent } from "node:http";
import type { AddressInfo } from "node:net";

/**
 * Starts an HTTP proxy that forwards requests to the executors in turn. It has
 * none of the daemon's guarantees. Returns its address.
 *
 * @example
 * ```ts
 * const address = await servePassThrough(["127.0.0.1:9000"]);
 * ```
 */
export async function servePassThrough(
  executors: readonly string[],
): Promise<string> {
  let next = 0;
  const client = got.extend({
    agent: { http: new Agent({ keepAlive: true, scheduling: "lifo" }) },
    retry: { limit: 0 },
    throwHttpErrors: false,
    followRedirect: false,
    decompress: false,
    responseType: "buffer",
  });
  const app = new Koa();
  app.use(async (context) => {
    const chunks: Buffer[] = [];
    for await (const chunk of context.req) chunks.push(chunk as Buffer);
    const body = Buffer.concat(chunks);
    const executor = executors[next++ % executors.length]!;
    const answer = await client(`http://${executor}${context.url}`, {
      method: context.method as "POST",
      headers: {
        "content-type": context.get("content-type"),
        authorization: context.get("authorization"),
      },
      ...(body.length > 0 && { body }),
    });
    context.status = answer.statusCode;
    context.set("content-type", answer.headers["content-type"] ?? "");
    context.body = answer.body;
  });
  const server = app.listen(0, "127.0.0.1");
  await once(server, "listening");
  return `127.0.0.1:${(server.address() as AddressInfo).port}`;
}
