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

const openStandins: Standin[] = [];

afterEach(async () => {
  await Promise.all(openStandins.splice(0).map((it) => it.close()));
});

async function closeAfterTest<It extends Standin>(
  standin: Promise<It>,
): Promise<It> {
  const it = await standin;
  openStandins.push(it);
  return it;
}

async function createLog() {
  const store = createLogStore();
  const { address } = await closeAfterTest(serveLog(store, "127.0.0.1:0"));
  return { store, address };
}

const APPEND = { stream: "control", id: "a", body: { text: "ä" } } as const;
const READ = { stream: "control", from: 0, limit: 10, waitMs: 0 } as const;

describe("createPlatformClient()", () => {
  // Guards against reporting an append that may have been stored as refused,
  // which would let the caller append it a second time.
  test.each([
    [{ lostAnswers: 1 }, "unknown", 1],
    [{ isDown: true }, "unknown", 0],
    [{ duplicates: 1 }, "appended", 2],
    [{ delayMs: 400 }, "unknown", 1],
  ])("reports with faults %j that an append is %s", async (
    faults,
    type,
    storedCount,
  ) => {
    const { store, address } = await createLog();
    const platform = createPlatformClient(address, { timeoutMs: 200 });
    Object.assign(store.faults, faults);
    expect(await platform.append(APPEND)).toMatchObject({ type });
    await new Promise((resolve) => setTimeout(resolve, 400));
    Object.assign(store.faults, { isDown: false, delayMs: 0 });
    const read = await platform.read(READ);
    expect(read).toMatchObject({
      type: "read",
      page: { nextOffset: storedCount },
    });
    platform.close();
  });

  // Guards against reporting an append as unknown that was certainly not sent.
  test("reports an append as refused if nothing listens", async () => {
    const platform = createPlatformClient("127.0.0.1:1", { timeoutMs: 200 });
    expect(await platform.append(APPEND)).toMatchObject({ type: "refused" });
    expect(await platform.readHosts()).toMatchObject({ type: "unreachable" });
  });

  // Guards against a long poll that misses the record that it waits for.
  test("waits in a read for the next record", async () => {
    const { address } = await createLog();
    const platform = createPlatformClient(address, { timeoutMs: 2_000 });
    const read = platform.read({ ...READ, waitMs: 5_000 });
    await platform.append(APPEND);
    expect(await read).toMatchObject({ page: { records: [APPEND_RECORD] } });
    platform.close();
  });

  // Guards against skipping records that the log no longer retains.
  test("reports a read before the oldest offset as expired", async () => {
    const store = createLogStore({ retentionMs: 20 });
    const { address } = await closeAfterTest(serveLog(store, "127.0.0.1:0"));
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
  // Guards against a fault that has no effect, with which tests of the
  // endpoints' client would pass without testing anything.
  test.each(["truncate", "reset"] as const)(
    "breaks one response with the fault %s",
    async (kind) => {
      const executor = await closeAfterTest(
        serveExecutor("127.0.0.1:0", { name: "e" }),
      );
      executor.setFault({ kind, count: 1 });
      const url = `http://${executor.address}/x`;
      const broken = fetch(url).then((it) => it.text());
      await expect(broken).rejects.toThrow();
      expect((await fetch(url)).status).toBe(200);
      expect(executor.stats.runs).toBe(2);
    },
  );

  test("echoes another request's id with the fault crossed", async () => {
    const executor = await closeAfterTest(
      serveExecutor("127.0.0.1:0", { name: "e" }),
    );
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
  // Guards against a balancer that hides failures of back ends by retries.
  test("alternates between back ends without retries", async () => {
    const first = await closeAfterTest(
      serveExecutor("127.0.0.1:0", { name: "e1" }),
    );
    const backends = [first.address, "127.0.0.1:1"];
    const balancer = await closeAfterTest(
      serveBalancer("127.0.0.1:0", backends),
    );
    const call = () =>
      fetch(`http://${balancer.address}/x`, {
        headers: { connection: "close" },
      });
    expect((await call()).status).toBe(200);
    await expect(call()).rejects.toThrow();
  });
});

describe("serveWorker()", () => {
  // Guards against accepting calls of a decider that has been replaced.
  test("refuses an older epoch or attempt", async () => {
    const worker = await closeAfterTest(serveWorker("127.0.0.1:0"));
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
  // Guards against showing changes immediately although a delay is set.
  test("shows a change after its delay", async () => {
    const list = await closeAfterTest(
      serveHostList("127.0.0.1:0", { lagMs: 100 }),
    );
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
    // The server answers 304 now, so the client returns the previous list.
    const again = await platform.readHosts();
    const hostsOf = (outcome: HostListOutcome) =>
      outcome.type === "read" ? outcome.hosts : undefined;
    expect(hostsOf(again)).toBe(hostsOf(changed));
    platform.close();
  });
});
