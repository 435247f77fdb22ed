import { connect, type Socket } from "node:net";
import { Worker } from "node:worker_threads";

/** Connections that a blocked port takes before packets are dropped. */
const BACKLOG = 1;

/** Listens, and blocks its thread for good before it accepts anything. */
const LISTEN_AND_BLOCK = `
const { parentPort, workerData } = require("node:worker_threads");
const server = require("node:net").createServer();
server.listen({ port: 0, host: "127.0.0.1", backlog: ${BACKLOG} }, () => {
  parentPort.postMessage(server.address().port);
  Atomics.wait(workerData, 0, 0);
});
`;

/** Port at which the packets that open a connection are dropped. */
export type BlockedPort = { address: string; close(): Promise<void> };

/** Opens a port whose queue of connections is full and stays so. */
export async function openBlockedPort(): Promise<BlockedPort> {
  const gate = new Int32Array(new SharedArrayBuffer(4));
  const worker = new Worker(LISTEN_AND_BLOCK, { eval: true, workerData: gate });
  const port = await new Promise<number>((resolve) =>
    worker.once("message", resolve)
  );
  const sockets: Socket[] = [];
  for (let index = 0; index <= BACKLOG; index++) {
    const socket = connect(port, "127.0.0.1");
    sockets.push(socket);
    await new Promise<void>((resolve) => socket.once("connect", resolve));
  }
  return {
    address: `127.0.0.1:${port}`,
    async close() {
      for (const socket of sockets) socket.destroy();
      Atomics.store(gate, 0, 1);
      Atomics.notify(gate, 0);
      await worker.terminate();
    },
  };
}
