import { Agent, type ClientRequest } from "node:http";
import type { Socket } from "node:net";

/**
 * Pool of connections to executors. It drops a connection on which more bytes
 * arrive than those of the response, since they could be taken for the response
 * to the next request.
 */
export class ExecutorAgent extends Agent {
  /** Destroys an idle connection on which data arrives. */
  readonly #destroyOnData = function (this: Socket): void {
    this.destroy();
  };

  constructor(maxConnections: number, idleMs: number) {
    super({
      keepAlive: true,
      maxSockets: maxConnections,
      maxFreeSockets: maxConnections,
      scheduling: "lifo",
      timeout: idleMs,
      noDelay: true,
    });
  }

  /** Keeps a connection for reuse only if it has no unread data. */
  override keepSocketAlive(socket: Socket): boolean {
    if (socket.readableLength > 0 || !socket.readable) return false;
    // The method returns whether the socket is kept, although its type is void.
    const isKept = super.keepSocketAlive(socket) as unknown as boolean;
    if (!isKept) return false;
    socket.on("data", this.#destroyOnData);
    socket.resume();
    return true;
  }

  /** Uses an idle connection for the next request. */
  override reuseSocket(socket: Socket, request: ClientRequest): void {
    socket.off("data", this.#destroyOnData);
    super.reuseSocket(socket, request);
  }
}
