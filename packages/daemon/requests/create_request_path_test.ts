import { createCallerServer } from "@lagoonloom/callers";
import { describe, expect, test } from "@jest/globals";
import { once } from "node:events";
import { createServer, type Server } from "node:http";
import type { AddressInfo } from "node:net";
import { Registry } from "prom-client";
import { createRequestPath } from "./create_request_path.ts";

describe("createRequestPath", () => {
  // Guards against a broken chain from the caller to the executor.
  test("returns the executor's whole answer", async () => {
    const executor = createServer((request, response) => {
      const id = request.headers["x-request-id"] ?? "";
      response.writeHead(200, { "x-request-id": id, "x-kept": "1" });
      request.pipe(response);
    });
    const address = await listen(executor);
    const path = createRequestPath({
      settings: {
        member: "entry-1",
        incarnation: "1",
        callers: new Map([["token", "quoting"]]),
        maxConnections: 8,
      },
      hasSlotRights: () => true,
      logIsFresh: () => true,
      setVersion: () => 1,
      isLive: () => true,
      isReady: () => true,
      findService: () => ({
        pool: "quoting",
        share_percent: 100,
        overflow: [],
        run_time_ms: 10,
        deadline_ms: 2_000,
        idempotent_posts: true,
      }),
      hostAddress: () => address,
      append: () => Promise.resolve({ type: "refused" }),
      readAnswer: () => Promise.resolve(undefined),
      forward: () => Promise.resolve({ type: "not-sent" }),
      awaitOutcomeAt: () => Promise.resolve({ type: "unknown" }),
      isCurrentMember: () => true,
      liveMembers: () => 1,
      events: () => undefined,
      metrics: new Registry(),
      nowMs: () => performance.now(),
    });
    const hosts = [{ name: "q1", slots: [0, 1], isLeaving: false }];
    path.updateTopology({
      pools: [{ name: "quoting", hosts }],
      services: [{
        name: "quoting",
        pool: "quoting",
        sharePercent: 100,
        overflow: [],
        runTimeMs: 10,
      }],
    }, []);
    const server = createCallerServer(path.app);
    const callers = await listen(server);
    for (let count = 0; count < 3; count += 1) {
      const answer = await fetch(`http://${callers}/v1/services/quoting/a?b`, {
        method: "POST",
        body: `order ${count}`,
        headers: { authorization: "Bearer token" },
      });
      expect(answer.status).toBe(200);
      expect(answer.headers.get("x-kept")).toBe("1");
      expect(await answer.text()).toBe(`order ${count}`);
    }
    path.close();
    server.close();
    executor.close();
    server.closeAllConnections();
  });
});

async function listen(server: Server): Promise<string> {
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  return `127.0.0.1:${(server.address() as AddressInfo).port}`;
}
