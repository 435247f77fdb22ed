/**
 * Stop of the parser of a connection within what was read at once.
 *
 * @module
 */

import type { Socket } from "node:net";

/** Switch that ends the parsing of a connection for good. */
export type ParserStop = { stop(): void };

/** Parser of a connection of an HTTP server of Node.js. */
type Parser = {
  /** Handles a request; returns how the parser goes on after its header. */
  onIncoming?: ((...parts: unknown[]) => unknown) | null;
};

/**
 * Result of {@linkcode Parser.onIncoming} after which the rest of what was read
 * belongs to another protocol and is not parsed.
 */
const END_OF_HTTP = 2;

/**
 * Creates the switch of a connection that has just been opened. One read may
 * hold thousands of requests. Without the switch, Node.js creates the objects
 * of all of them and keeps them until the connection has been closed.
 *
 * @example
 * ```ts
 * const parsing = createParserStop(socket);
 * parsing.stop();
 * ```
 */
export function createParserStop(
  socket: Socket & { parser?: Parser | null },
): ParserStop {
  let isStopped = false;
  const { parser } = socket;
  const handle = parser?.onIncoming;
  if (parser && handle) {
    parser.onIncoming = (...parts) => {
      if (isStopped) return END_OF_HTTP;
      const result = handle.apply(parser, parts);
      return isStopped ? END_OF_HTTP : result;
    };
  }
  return {
    stop() {
      isStopped = true;
    },
  };
}
