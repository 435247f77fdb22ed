// Proxy on a loopback address that can cut a path silently.
import { connect, createServer } from "node:net";

/** Starts a proxy to `target`. While it is cut, no byte passes either way. */
export async function startProxy(address, target) {
  const [host, port] = address.split(":");
  const [targetHost, targetPort] = target.split(":");
  const pairs = new Set();
  let isCut = false;
  const server = createServer((near) => {
    const far = connect(Number(targetPort), targetHost);
    const pair = { near, far, isStale: isCut };
    pairs.add(pair);
    const end = () => {
      near.destroy();
      far.destroy();
      pairs.delete(pair);
    };
    for (const [from, to] of [[near, far], [far, near]]) {
      from.on("data", (chunk) => {
        if (isCut) pair.isStale = true;
        if (!pair.isStale) to.write(chunk);
      });
      from.on("error", end);
      from.on("close", end);
    }
  });
  await new Promise((resolve) => server.listen(Number(port), host, resolve));
  return {
    address: `${host}:${server.address().port}`,
    cut() {
      isCut = true;
    },
    heal() {
      isCut = false;
    },
    close() {
      server.close();
      for (const { near, far } of pairs) {
        near.destroy();
        far.destroy();
      }
    },
  };
}
