import { Agent, type ClientRequest } from "node:http";
import type { Socket } from "node:net";

/** Connections per executor, without reuse after an unclean exchange. */
export class ExecutorAgent extends Agent {
  /** Destroys an idle connection on which bytes arrive. */
  readonly #onSurplus = function (this: Socket): void {
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

  /** Keeps a connection only if nothing is unread on it. */
  override keepSocketAlive(socket: Socket): boolean {
    if (socket.readableLength > 0 || !socket.readable) return false;
    // The declared type lacks the documented result.
    const isKept = super.keepSocketAlive(socket) as unknown as boolean;
    if (!isKept) return false;
    socket.on("data", this.#onSurplus);
    socket.resume();
    return true;
  }

  /** Hands an idle connection to the next request. */
  override reuseSocket(socket: Socket, request: ClientRequest): void {
    socket.off("data", this.#onSurplus);
    super.reuseSocket(socket, request);
  }
}
