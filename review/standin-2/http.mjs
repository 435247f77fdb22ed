// Small HTTP server and client on loopback addresses.
import { createServer, request } from "node:http";

/**
 * Serves `handle`, which returns a status and a body (an object or bytes).
 * `disturb` may return `{ isLost, delayMs }` for a call: then it is carried out
 * after the delay, and its answer is lost.
 */
export async function startHttp(address, handle, disturb) {
  const [host, port] = address.split(":");
  const server = createServer((incoming, outgoing) => {
    const chunks = [];
    incoming.on("data", (chunk) => chunks.push(chunk));
    incoming.on("error", () => undefined);
    incoming.on("end", async () => {
      const url = new URL(incoming.url, "http://loopback");
      const path = url.pathname.replace("/lagoonloom/", "");
      const trouble = disturb?.(path);
      if (trouble?.delayMs > 0) {
        await new Promise((resolve) => setTimeout(resolve, trouble.delayMs));
      }
      const reply = await handle({
        method: incoming.method,
        path,
        query: url.searchParams,
        headers: incoming.headers,
        body: Buffer.concat(chunks),
      });
      // No reply: the channel stays silent.
      if (reply === undefined || trouble?.isLost || outgoing.destroyed) return;
      const [status, body] = reply;
      const bytes = Buffer.isBuffer(body)
        ? body
        : Buffer.from(JSON.stringify(body));
      outgoing.writeHead(status, {
        "content-type": Buffer.isBuffer(body)
          ? "application/octet-stream"
          : "application/json",
        "content-length": bytes.length,
      }).end(bytes);
    });
  });
  server.keepAliveTimeout = 60_000;
  await new Promise((resolve, reject) => {
    server.once("error", reject);
    server.listen(Number(port), host, resolve);
  });
  return {
    address: `${host}:${server.address().port}`,
    close() {
      server.close();
      server.closeAllConnections();
    },
  };
}

/** Sends a request; resolves to `{ status, body }`, or `{ error }`. */
export function send(address, { method, path, host, json, timeoutMs = 3_000 }) {
  const [ip, port] = address.split(":");
  return new Promise((resolve) => {
    const bytes = json === undefined
      ? undefined
      : Buffer.from(JSON.stringify(json));
    const sent = request({
      host: ip,
      port: Number(port),
      method,
      path,
      agent: false,
      headers: {
        ...(host === undefined ? {} : { host }),
        "x-deadline-ms": String(timeoutMs),
        ...(bytes === undefined ? {} : {
          "content-type": "application/json",
          "content-length": bytes.length,
        }),
      },
    });
    const timer = setTimeout(
      () => sent.destroy(new Error("no answer in time")),
      timeoutMs,
    );
    sent.on("error", (error) => {
      clearTimeout(timer);
      resolve({ error: error.code ?? error.message });
    });
    sent.on("response", (response) => {
      const chunks = [];
      response.on("data", (chunk) => chunks.push(chunk));
      response.on("error", () => resolve({ error: "channel broken" }));
      response.on("end", () => {
        clearTimeout(timer);
        const text = Buffer.concat(chunks).toString();
        let body;
        try {
          body = JSON.parse(text);
        } catch {
          body = undefined;
        }
        resolve({ status: response.statusCode, body });
      });
    });
    sent.end(bytes);
  });
}
