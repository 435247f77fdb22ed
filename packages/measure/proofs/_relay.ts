import { once } from "node:events";
import { type AddressInfo, connect, createServer, type Socket } from "node:net";

/** Relay of TCP connections that a test can cut. */
export type Relay = {
  address: string;
  /** Ends all connections and refuses new ones until it is healed. */
  cut(): void;
  heal(): void;
  /** Loses the answers to this number of POST requests. */
  loseAnswers(count: number): void;
  /** Number of answers that are still to be lost. */
  answersToLose(): number;
  close(): Promise<void>;
};

/** Starts a relay to an address. */
export async function startRelay(target: string): Promise<Relay> {
  const sockets = new Set<Socket>();
  let isCut = false;
  let lostAnswers = 0;
  const [host, port] = target.split(":");
  const server = createServer((near) => {
    if (isCut) return void near.destroy();
    const far = connect(Number(port), host);
    for (const [socket, other] of [[near, far], [far, near]] as const) {
      sockets.add(socket);
      socket.on("error", () => socket.destroy());
      socket.on("close", () => {
        sockets.delete(socket);
        other.destroy();
      });
    }
    let isPost = false;
    near.on("data", (data) => {
      isPost ||= data.toString("latin1").startsWith("POST ");
      far.write(data);
    });
    far.on("data", (data) => {
      if (!isPost || lostAnswers === 0) return void near.write(data);
      lostAnswers--;
      near.destroy();
    });
  });
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  const end = () => {
    for (const socket of sockets) socket.destroy();
  };
  return {
    address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
    cut() {
      isCut = true;
      end();
    },
    heal: () => void (isCut = false),
    loseAnswers: (count) => void (lostAnswers = count),
    answersToLose: () => lostAnswers,
    async close() {
      const closed = once(server, "close");
      server.close();
      end();
      await closed;
    },
  };
}
