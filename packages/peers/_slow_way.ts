import { type AddressInfo, connect, createServer, type Socket } from "node:net";

/** TCP relay to a server, as a way on which packets take longer. */
export type SlowWay = {
  /** Address at which the server is reached over this way. */
  address: string;
  /** Number of connections that were opened. */
  connectionCount(): number;
  /** Sets whether packets on connections open now are dropped for good. */
  dropOpen(): void;
  close(): void;
};

/**
 * Opens a way on which packets take `delayMs` longer in each direction.
 * Connections are opened without that delay.
 */
export async function openSlowWay(
  target: string,
  { delayMs }: { delayMs: number },
): Promise<SlowWay> {
  const [host, port] = target.split(":");
  const sockets = new Set<Socket>();
  const dropped = new Set<Socket>();
  let connectionCount = 0;
  const forward = (from: Socket, to: Socket) => {
    sockets.add(from);
    from.on("data", (chunk) =>
      setTimeout(() => {
        if (!dropped.has(from) && !to.destroyed) to.write(chunk);
      }, delayMs));
    from.on("close", () => setTimeout(() => to.destroy(), delayMs));
    from.on("error", () => undefined);
  };
  const server = createServer((near) => {
    connectionCount++;
    const far = connect(Number(port), host);
    forward(near, far);
    forward(far, near);
  });
  await new Promise<void>((resolve) =>
    server.listen(0, "127.0.0.1", () => resolve())
  );
  return {
    address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
    connectionCount: () => connectionCount,
    dropOpen() {
      for (const socket of sockets) dropped.add(socket);
    },
    close() {
      for (const socket of sockets) socket.destroy();
      server.close();
    },
  };
}
