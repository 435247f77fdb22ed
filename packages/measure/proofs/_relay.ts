/**
 * TCP relay for tests of lost connections and lost answers.
 *
 * @module
 */

import { once } from "node:events";
import { type AddressInfo, connect, createServer, type Socket } from "node:net";

/** TCP relay to one address. */
export type Relay = {
  address: string;
  /** Closes all connections and any new ones until `reconnect()`. */
  disconnect(): void;
  reconnect(): void;
  /** Drops the answers to the next POST requests and closes the connections. */
  loseAnswers(count: number): void;
  /** Returns the number of answers that are still to be dropped. */
  answersToLose(): number;
  close(): Promise<void>;
};

/** Starts a relay to an address. */
export async function startRelay(target: string): Promise<Relay> {
  const sockets = new Set<Socket>();
  let isDisconnected = false;
  let lostAnswers = 0;
  const [host, port] = target.split(":");
  const server = createServer((client) => {
    if (isDisconnected) return void client.destroy();
    const upstream = connect(Number(port), host);
    for (
      const [socket, other] of [[client, upstream], [upstream, client]] as const
    ) {
      sockets.add(socket);
      socket.on("error", () => socket.destroy());
      socket.on("close", () => {
        sockets.delete(socket);
        other.destroy();
      });
    }
    let isPost = false;
    client.on("data", (data) => {
      isPost ||= data.toString("latin1").startsWith("POST ");
      upstream.write(data);
    });
    upstream.on("data", (data) => {
      if (!isPost || lostAnswers === 0) return void client.write(data);
      lostAnswers--;
      client.destroy();
    });
  });
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  const closeConnections = () => {
    for (const socket of sockets) socket.destroy();
  };
  return {
    address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
    disconnect() {
      isDisconnected = true;
      closeConnections();
    },
    reconnect: () => void (isDisconnected = false),
    loseAnswers: (count) => void (lostAnswers = count),
    answersToLose: () => lostAnswers,
    async close() {
      const closed = once(server, "close");
      server.close();
      closeConnections();
      await closed;
    },
  };
}
