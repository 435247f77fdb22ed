/**
 * Pausing of connections that an HTTP server reads.
 *
 * @module
 */

import type { Socket } from "node:net";

/** Switch that stops and restarts the reading of a connection. */
export type SocketPause = {
  pause(): void;
  resume(): void;
  isPaused(): boolean;
};

/**
 * Creates the switch of a connection. An HTTP server resumes its sockets after
 * each request, which has no effect while the switch is set to paused.
 *
 * @example
 * ```ts
 * const reading = createSocketPause(socket);
 * reading.pause();
 * ```
 */
export function createSocketPause(socket: Socket): SocketPause {
  let isPaused = false;
  // A call to resume() before the pause takes effect only after it.
  const stopAgain = () => socket.emit("pause");
  return {
    pause() {
      if (isPaused) return;
      isPaused = true;
      socket.pause();
      socket.resume = () => socket;
      socket.on("resume", stopAgain);
    },
    resume() {
      if (!isPaused) return;
      isPaused = false;
      socket.off("resume", stopAgain);
      Reflect.deleteProperty(socket, "resume");
      if (!socket.destroyed) socket.resume();
    },
    isPaused: () => isPaused,
  };
}
