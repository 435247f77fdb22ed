/**
 * Stand-in of the platform's host list.
 *
 * @module
 */

import { ListedHost } from "@lagoonloom/platform";
import { createHash } from "node:crypto";
import { z } from "zod";
import {
  listen,
  parseUrl,
  readJson,
  sendJson,
  type Standin,
  withErrorHandling,
} from "./_http.ts";

/** Running host list. Readers see changes after a delay. */
export type HostListStandin = Standin & {
  /** Adds or replaces an entry. */
  put(host: Pick<ListedHost, "host" | "state">): void;
  /** Removes an entry. */
  remove(host: string): void;
};

/** Options of {@linkcode serveHostList}. */
export type HostListOptions = {
  /** Delay in milliseconds until a change becomes visible; 0 by default. */
  lagMs?: number;
  /** Restarts a host and resolves when it is up again. */
  reboot?: (host: string) => Promise<void>;
};

const Reboot = z.object({ id: z.string() });

const REBOOT_PATH = /^\/v1\/hosts\/([^/]+)\/reboot$/;

const HostChange = z.union([
  z.strictObject({ removed: z.string() }),
  ListedHost.pick({ host: true, state: true }),
]);

/**
 * Starts a host list over HTTP. `POST /v1/hosts` changes one entry, or removes
 * it with `{"removed": NAME}`. `POST /v1/hosts/NAME/reboot` restarts a host
 * unless the id in its body was used before. A read with the current entity tag
 * in `If-None-Match` is answered with 304.
 *
 * @example
 * ```ts
 * const list = await serveHostList("127.0.0.1:0", { lagMs: 5_000 });
 * list.put({ host: "detroit-quoting-1", state: "leaving" });
 * ```
 */
export async function serveHostList(
  address: string,
  options: HostListOptions = {},
): Promise<HostListStandin> {
  const visible = new Map<string, ListedHost>();
  const lagMs = options.lagMs ?? 0;
  function applyAfterLag(change: () => void): void {
    if (lagMs === 0) change();
    else setTimeout(change, lagMs).unref();
  }
  function put({ host, state }: Pick<ListedHost, "host" | "state">): void {
    const entry = { host, state, timeMs: Date.now() };
    applyAfterLag(() => visible.set(host, entry));
  }
  const remove = (host: string) => applyAfterLag(() => visible.delete(host));
  const rebootIds = new Set<string>();
  async function reboot(host: string): Promise<void> {
    await options.reboot?.(host);
    const entry = { host, state: "live" as const, timeMs: Date.now() };
    applyAfterLag(() =>
      visible.set(host, { ...entry, bootedAtMs: Date.now() })
    );
  }
  const listener = withErrorHandling(async (request, response) => {
    const rebooted = REBOOT_PATH.exec(parseUrl(request).pathname)?.[1];
    if (rebooted !== undefined) {
      const { id } = Reboot.parse(await readJson(request));
      if (!rebootIds.has(id)) void reboot(decodeURIComponent(rebooted));
      rebootIds.add(id);
      return sendJson(response, 202, {});
    }
    if (request.method === "POST") {
      const change = HostChange.parse(await readJson(request));
      if ("removed" in change) remove(change.removed);
      else put(change);
    }
    const hosts = [...visible.values()];
    const text = JSON.stringify(hosts);
    const etag = `"${createHash("sha256").update(text).digest("base64url")}"`;
    response.setHeader("etag", etag);
    const isUnchanged = request.method === "GET" &&
      request.headers["if-none-match"] === etag;
    if (isUnchanged) return void response.writeHead(304).end();
    sendJson(response, 200, { hosts });
  });
  return { ...await listen(listener, address), put, remove };
}
