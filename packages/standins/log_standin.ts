import { STREAMS } from "@lagoonloom/records";
import type { IncomingMessage, ServerResponse } from "node:http";
import { z } from "zod";
import {
  listen,
  parseUrl,
  readJson,
  sendJson,
  type Standin,
  withErrorHandling,
} from "./_http.ts";
import type { LogStore } from "./log_store.ts";

const RECORDS_PATH = /^\/v1\/streams\/([a-z]+)\/records$/;

const Appended = z.object({ id: z.string(), body: z.unknown() });

const Faults = z.strictObject({
  isDown: z.boolean(),
  delayMs: z.number().min(0),
  lostAnswers: z.int().min(0),
  duplicates: z.int().min(0),
}).partial();

/**
 * Starts the platform's log over HTTP: `POST` and `GET` of
 * `/v1/streams/NAME/records` append and read records. `POST /faults` sets
 * faults, for example `{"lostAnswers": 1}`.
 *
 * @example
 * ```ts
 * const log = await serveLog(createLogStore(), "127.0.0.1:0");
 * ```
 */
export function serveLog(store: LogStore, address: string): Promise<Standin> {
  return listen(
    withErrorHandling((request, response) => answer(store, request, response)),
    address,
  );
}

async function answer(
  store: LogStore,
  request: IncomingMessage,
  response: ServerResponse,
): Promise<void> {
  const url = parseUrl(request);
  if (url.pathname === "/faults") {
    Object.assign(store.faults, Faults.parse(await readJson(request)));
    return sendJson(response, 200, store.faults);
  }
  const { faults } = store;
  // Reads the body first, so that a delayed append takes effect even if the
  // client has closed the connection meanwhile.
  const sent = request.method === "POST" ? await readJson(request) : undefined;
  if (faults.delayMs > 0) await sleep(faults.delayMs);
  if (faults.isDown) return void request.socket.destroy();
  const stream = STREAMS.find((name) =>
    name === RECORDS_PATH.exec(url.pathname)?.[1]
  );
  if (stream === undefined) return sendJson(response, 404, {});
  if (request.method === "POST") {
    const { id, body } = Appended.parse(sent);
    const { offset, timeMs } = store.append(stream, { id, body });
    if (faults.lostAnswers > 0) {
      faults.lostAnswers--;
      return void request.socket.destroy();
    }
    return sendJson(response, 201, { offset, timeMs });
  }
  const number = (name: string) => Number(url.searchParams.get(name) ?? 0);
  const from = number("from");
  await store.waitFor(stream, { from, waitMs: number("wait_ms") });
  if (faults.isDown) return void request.socket.destroy();
  const limit = Math.max(1, number("limit"));
  return sendJson(response, 200, store.read(stream, { from, limit }));
}

function sleep(delayMs: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, delayMs));
}
