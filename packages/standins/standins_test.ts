import { afterEach, describe, expect, test } from "@jest/globals";
import {
  createPlatformClient,
  type HostListOutcome,
} from "@lagoonloom/platform";
import type { Standin } from "./_http.ts";
import { serveBalancer } from "./balancer_standin.ts";
import { serveExecutor } from "./executor_standin.ts";
import { serveHostList } from "./hosts_standin.ts";
import { serveLog } from "./log_standin.ts";
import { createLogStore } from "./log_store.ts";
import { serveWorker } from "./worker_standin.ts";

const open: Standin[] = [];

afterEach(async () => {
  await Promise.all(open.splice(0).map((it) => it.close()));
});

async function opened<It extends Standin>(standin: Promise<It>): Promise<It> {
  const it = await standin;
  open.push(it);
  return it;
}

async function createLog() {
  const store = createLogStore();
  const { address } = await opened(serveLog(store, "127.0.0.1:0"));
  return { store, address };
}

const APPEND = { stream: "control", id: "a", body: { text: "ä" } } as const;
const READ = { stream: "control", from: 0, limit: 10, waitMs: 0 } as const;

describe("createPlatformClient()", () => {
  // Guards against an append that may have taken effect being reported as
  // refused, which would make a repeat of it run twice.
  test.each([
    [{ lostAnswers: 1 }, "unknown", 1],
    [{ isDown: true }, "unknown", 0],
    [{ duplicates: 1 }, "appended", 2],
    [{ delayMs: 400 }, "unknown", 1],
  ])("with %j an append is %s", async (faults, type, stored) => {
    const { store, address } = await createLog();
    const platform = createPlatformClient(address, { timeoutMs: 200 });
    Object.assign(store.faults, faults);
    expect(await platform.append(APPEND)).toMatchObject({ type });
    await new Promise((resolve) => setTimeout(resolve, 400));
    Object.assign(store.faults, { isDown: false, delayMs: 0 });
    const read = await platform.read(READ);
    expect(read).toMatchObject({ type: "read", page: { nextOffset: stored } });
    platform.close();
  });

  // Guards against an append that provably was not sent being looked up.
  test("without a listener an append is refused", async () => {
    const platform = createPlatformClient("127.0.0.1:1", { timeoutMs: 200 });
    expect(await platform.append(APPEND)).toMatchObject({ type: "refused" });
    expect(await platform.readHosts()).toMatchObject({ type: "unreachable" });
  });

  // Guards against a long poll that misses the record it waits for.
  test("a read waits for the next record", async () => {
    const { address } = await createLog();
    const platform = createPlatformClient(address, { timeoutMs: 2_000 });
    const read = platform.read({ ...READ, waitMs: 5_000 });
    await platform.append(APPEND);
    expect(await read).toMatchObject({ page: { records: [APPEND_RECORD] } });
    platform.close();
  });

  // Guards against records that are skipped unnoticed.
  test("a read before the oldest offset is expired", async () => {
    const store = createLogStore({ retentionMs: 20 });
    const { address } = await opened(serveLog(store, "127.0.0.1:0"));
    const platform = createPlatformClient(address, { timeoutMs: 2_000 });
    await platform.append(APPEND);
    await new Promise((resolve) => setTimeout(resolve, 40));
    const read = await platform.read(READ);
    expect(read).toMatchObject({ type: "expired", page: { oldestOffset: 1 } });
    platform.close();
  });
});

const APPEND_RECORD = { offset: 0, id: "a", body: { text: "ä" } };

describe("serveExecutor()", () => {
  // Guards against a fault that does not appear, which would let tests of the
  // endpoints' client pass without it.
  test.each(["truncate", "reset"] as const)("%s breaks", async (kind) => {
    const executor = await opened(serveExecutor("127.0.0.1:0", { name: "e" }));
    executor.setFault({ kind, count: 1 });
    const url = `http://${executor.address}/x`;
    const broken = fetch(url).then((it) => it.text());
    await expect(broken).rejects.toThrow();
    expect((await fetch(url)).status).toBe(200);
    expect(executor.stats.runs).toBe(2);
  });

  test("crossed echoes another request's id", async () => {
    const executor = await opened(serveExecutor("127.0.0.1:0", { name: "e" }));
    const send = async (id: string) => {
      const headers = { "x-request-id": id, "idempotency-key": "k" };
      const response = await fetch(`http://${executor.address}/x`, { headers });
      return response.headers.get("x-request-id");
    };
    expect(await send("r1")).toBe("r1");
    executor.setFault({ kind: "crossed", count: 1 });
    expect(await send("r2")).toBe("r1");
    expect(executor.stats.runsByKey).toEqual({ k: 2 });
  });
});

describe("serveBalancer()", () => {
  // Guards against a balancer that hides failures of back ends.
  test("takes turns and retries nothing", async () => {
    const first = await opened(serveExecutor("127.0.0.1:0", { name: "e1" }));
    const backends = [first.address, "127.0.0.1:1"];
    const balancer = await opened(serveBalancer("127.0.0.1:0", backends));
    const call = () =>
      fetch(`http://${balancer.address}/x`, {
        headers: { connection: "close" },
      });
    expect((await call()).status).toBe(200);
    await expect(call()).rejects.toThrow();
  });
});

describe("serveWorker()", () => {
  // Guards against a stand-in that accepts calls of an expired lease.
  test("refuses an older epoch or attempt", async () => {
    const worker = await opened(serveWorker("127.0.0.1:0"));
    const post = async (path: string, body: unknown) => {
      const url = `http://${worker.address}/v1/tasks${path}`;
      const request = { method: "POST", body: JSON.stringify(body) };
      return (await fetch(url, request)).status;
    };
    const fence = { job: "t", attempt: 2, epoch: 2 };
    const leaseEndMs = Date.now() + 60_000;
    const size = { cores: 1, memory_gb: 1, accelerators: 0 };
    const start = { ...fence, leaseEndMs, startByMs: leaseEndMs, size };
    expect(await post("", start)).toBe(201);
    expect(await post("/t/stop", { ...fence, epoch: 1 })).toBe(409);
    expect(await post("/t/stop", { ...fence, attempt: 1 })).toBe(409);
    expect(worker.tasks.get("t")?.state).toBe("running");
    expect(await post("/t/stop", fence)).toBe(200);
    expect(worker.tasks.get("t")?.state).toBe("stopped");
  });
});

describe("serveHostList()", () => {
  // Guards against a list that shows changes without its delay.
  test("shows a change after its delay", async () => {
    const list = await opened(serveHostList("127.0.0.1:0", { lagMs: 100 }));
    const platform = createPlatformClient("127.0.0.1:1", {
      timeoutMs: 2_000,
      hostsAddress: list.address,
    });
    list.put({ host: "quoting-1", state: "leaving" });
    expect(await platform.readHosts()).toMatchObject({ hosts: [] });
    await new Promise((resolve) => setTimeout(resolve, 200));
    const host = { host: "quoting-1", state: "leaving" };
    const changed = await platform.readHosts();
    expect(changed).toMatchObject({ hosts: [host] });
    // An unchanged list is not sent again; the client returns the last one.
    const again = await platform.readHosts();
    const hostsOf = (outcome: HostListOutcome) =>
      outcome.type === "read" ? outcome.hosts : undefined;
    expect(hostsOf(again)).toBe(hostsOf(changed));
    platform.close();
  });
});
