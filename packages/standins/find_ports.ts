import { once } from "node:events";
import { createServer } from "node:net";

/**
 * Lowest port to try. The range lies below the ephemeral ports, which an
 * outgoing connection could take before the process under test listens.
 */
const FIRST_PORT = 20_000;

/** End of the range of ports, exclusive. */
const LAST_PORT = 32_000;

/**
 * Finds free ports of the loopback address for processes that a test starts.
 *
 * @example
 * ```ts
 * const [front, ready] = await findPorts(2);
 * ```
 */
export async function findPorts(count: number): Promise<number[]> {
  const ports = new Set<number>();
  while (ports.size < count) {
    const range = LAST_PORT - FIRST_PORT;
    const port = FIRST_PORT + Math.floor(Math.random() * range);
    if (await isFree(port)) ports.add(port);
  }
  return [...ports];
}

async function isFree(port: number): Promise<boolean> {
  const server = createServer();
  try {
    server.listen(port, "127.0.0.1");
    await once(server, "listening");
  } catch {
    return false;
  }
  server.close();
  await once(server, "close");
  return true;
}
