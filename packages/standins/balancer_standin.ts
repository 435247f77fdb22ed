/**
 * Stand-in of a TCP load balancer.
 *
 * @module
 */

import { splitAddress } from "@lagoonloom/objects";
import { type AddressInfo, connect, createServer, type Socket } from "node:net";
import type { Standin } from "./_http.ts";

/** Running load balancer. */
export type BalancerStandin = Standin & {
  /** Replaces the back ends that new connections use. */
  setBackends(backends: readonly string[]): void;
};

/**
 * Starts a round-robin load balancer of TCP connections. It does not retry: if
 * a back end refuses the connection, the client's connection is closed.
 *
 * @example
 * ```ts
 * const balancer = await serveBalancer("127.0.0.1:0", [first, second]);
 * ```
 */
export async function serveBalancer(
  address: string,
  backends: readonly string[],
): Promise<BalancerStandin> {
  let current = backends;
  let next = 0;
  const sockets = new Set<Socket>();
  const server = createServer((client) => {
    const backend = current[next++ % current.length];
    if (backend === undefined) return void client.destroy();
    const upstream = connect(splitAddress(backend));
    for (const [socket, other] of [[client, upstream], [upstream, client]]) {
      sockets.add(socket!);
      socket!.setNoDelay(true);
      socket!.on("error", () => other!.destroy());
      socket!.on("close", () => {
        sockets.delete(socket!);
        other!.destroy();
      });
      socket!.pipe(other!);
    }
  });
  const { host, port } = splitAddress(address);
  await new Promise<void>((resolve) => server.listen(port, host, resolve));
  return {
    address: `${host}:${(server.address() as AddressInfo).port}`,
    setBackends(value) {
      current = value;
    },
    close: () =>
      new Promise((resolve) => {
        server.close(() => resolve());
        for (const socket of sockets) socket.destroy();
      }),
  };
}
