/**
 * Prometheus metrics of what the clients of a member hold.
 *
 * @module
 */

import { Gauge, type Registry } from "prom-client";

/** What clients hold at a time. */
export type ClientLoad = {
  connections: number;
  requests: number;
  bytes: number;
};

/**
 * Adds gauges of what clients hold, read at each scrape.
 *
 * @example
 * ```ts
 * observeClients(registry, () => guard.usage());
 * ```
 */
export function observeClients(
  registry: Registry,
  read: () => ClientLoad,
): void {
  const add = (name: string, help: string, key: keyof ClientLoad) =>
    new Gauge({
      name,
      help,
      registers: [registry],
      collect() {
        this.set(read()[key]);
      },
    });
  add(
    "lagoonloom_client_connections",
    "Open connections of callers.",
    "connections",
  );
  add(
    "lagoonloom_client_requests",
    "Requests of callers that are handled or not fully answered.",
    "requests",
  );
  add(
    "lagoonloom_client_bytes",
    "Bytes that callers hold by the process's count.",
    "bytes",
  );
}
