import { ListedHost } from "@lagoonloom/platform";
import { z } from "zod";
import {
  listen,
  readJson,
  sendJson,
  type Standin,
  withErrors,
} from "./_http.ts";

/** Host list whose readers see changes after a delay. */
export type HostListStandin = Standin & {
  /** Changes or adds an entry. */
  put(host: Pick<ListedHost, "host" | "state">): void;
  remove(host: string): void;
};

/** Options of {@linkcode serveHostList}. */
export type HostListOptions = {
  /** Time in milliseconds after which a change becomes visible. */
  lagMs?: number;
};

const HostChange = z.union([
  z.strictObject({ removed: z.string() }),
  ListedHost.pick({ host: true, state: true }),
]);

/**
 * Serves a host list over HTTP. `POST /v1/hosts` changes one entry, or removes
 * it with `{"removed": NAME}`.
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
  function later(change: () => void): void {
    if (lagMs === 0) change();
    else setTimeout(change, lagMs).unref();
  }
  function put({ host, state }: Pick<ListedHost, "host" | "state">): void {
    const entry = { host, state, timeMs: Date.now() };
    later(() => visible.set(host, entry));
  }
  const remove = (host: string) => later(() => visible.delete(host));
  const listener = withErrors(async (request, response) => {
    if (request.method === "POST") {
      const change = HostChange.parse(await readJson(request));
      if ("removed" in change) remove(change.removed);
      else put(change);
    }
    sendJson(response, 200, { hosts: [...visible.values()] });
  });
  return { ...await listen(listener, address), put, remove };
}
