/**
 * Operators' server and handlers for tests.
 *
 * @module
 */

import { applySetChange, emptyObjectSet } from "@lagoonloom/objects";
import type { Server } from "node:http";
import type { AddressInfo } from "node:net";
import type { OperatorAppOptions } from "./operator_app.ts";
import type { OperatorHandlers } from "./operator_handlers.ts";
import { createOperatorServer } from "./operator_server.ts";
import type { HistoryEntry, Publication } from "./publication.ts";

/** Operator key that servers started by {@linkcode listen} accept. */
export const EXAMPLE_KEY = "example-operator-key";

/** Keys of the example operators, by name. */
export const EXAMPLE_KEYS = { ada: EXAMPLE_KEY, ben: "other-operator-key" };

/** Returns a publication with an empty change. */
export function examplePublication(
  fields: Partial<Publication> = {},
): Publication {
  return {
    publicationId: "publication-1",
    expectedVersion: 0,
    operator: "ada",
    change: { put: {}, removed: [] },
    ...fields,
  };
}

/** Returns handlers that keep publications in memory. */
export function exampleHandlers(
  overrides: Partial<OperatorHandlers> = {},
): OperatorHandlers {
  const history: HistoryEntry[] = [];
  let set = emptyObjectSet();
  const find = (id: string) => {
    const entry = history.find(({ publicationId }) => publicationId === id);
    return entry === undefined
      ? { type: "unknown" as const, publicationId: id }
      : { type: "accepted" as const, ...entry };
  };
  return {
    submitChange: ({ publicationId, expectedVersion, operator, change }) => {
      const found = find(publicationId);
      if (found.type === "accepted") return found;
      const version = history.length;
      if (expectedVersion !== version) {
        return {
          type: "refused",
          cause: "conflict",
          reason: `The version in force is ${version}.`,
          currentVersion: version,
          winners: history.slice(expectedVersion),
        };
      }
      const entry = { offset: version, version: version + 1, publicationId };
      const timeMs = 0;
      const put = Object.entries(change.put).flatMap(([kind, objects]) =>
        Object.keys(objects ?? {}).map((name) => `${kind}/${name}`)
      );
      set = applySetChange(set, change);
      history.push({ ...entry, timeMs, operator, put, removed: [] });
      return find(publicationId);
    },
    currentSet: () => ({ version: history.length, set }),
    status: () => ({
      daemon: "entry-1",
      dataCentre: "detroit",
      ready: true,
      version: history.length,
      offset: history.length,
    }),
    history: (limit) => history.toReversed().slice(0, limit),
    explain: (kind, name) =>
      name === "none" ? undefined : { kind, name, sentences: [], facts: {} },
    publication: find,
    submitJob: ({ job }) => ({ type: "accepted", job, offset: 1 }),
    cancelJob: (job) =>
      job === "none"
        ? { type: "refused", cause: "invalid", reason: "The job is unknown." }
        : { type: "accepted", job, offset: 2 },
    listJobs: () => ({ offset: 2, jobs: [], omitted: 0 }),
    ...overrides,
  };
}

/** Starts an operators' server on a free port of the loopback address. */
export async function listen(
  handlers: OperatorHandlers,
  options: Partial<OperatorAppOptions> = {},
) {
  const keysByOperator = new Map(Object.entries(EXAMPLE_KEYS));
  const server = createOperatorServer(handlers, {
    keysByOperator,
    ...options,
  });
  return { server, address: await listenOn(server) };
}

/** Starts a server on a free port and returns its address. */
export async function listenOn(server: Server) {
  await new Promise<void>((resolve) => {
    server.listen(0, "127.0.0.1", resolve);
  });
  const { port } = server.address() as AddressInfo;
  return `127.0.0.1:${port}`;
}

/** Stops a server and closes its connections. */
export async function close(server: Server) {
  server.closeAllConnections();
  await new Promise((resolve) => server.close(resolve));
}
