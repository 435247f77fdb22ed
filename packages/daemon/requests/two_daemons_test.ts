import { afterEach, describe, expect, test } from "@jest/globals";
import {
  createLogStore,
  createTestFleet,
  serveExecutor,
  serveHostList,
  serveLog,
} from "@lagoonloom/standins";
import { createEventLog } from "@lagoonloom/telemetry";
import { createServer } from "node:net";
import type { AddressInfo } from "node:net";
import { DaemonSettings } from "../settings.ts";
import { type RunningDaemon, startDaemon } from "../start_daemon.ts";

const KEY = "key-of-the-test-caller";
const closers: (() => Promise<unknown>)[] = [];
afterEach(async () => {
  await Promise.all(closers.splice(0).map((close) => close()));
});

function findFreeAddress(): Promise<string> {
  return new Promise((resolve) => {
    const server = createServer();
    server.listen(0, "127.0.0.1", () => {
      const { port } = server.address() as AddressInfo;
      server.close(() => resolve(`127.0.0.1:${port}`));
    });
  });
}

/** Starts two daemons, a log and two executors, all on loopback sockets. */
async function startFleet() {
  const store = createLogStore();
  const log = await serveLog(store, "127.0.0.1:0");
  const hostList = await serveHostList("127.0.0.1:0", { lagMs: 0 });
  const executors = await Promise.all(
    ["e1", "e2"].map((name) =>
      serveExecutor("127.0.0.1:0", { name, runMs: 20 })
    ),
  );
  const set = createTestFleet({
    pools: { orders: 2 },
    addressOf: (index) => executors[index]!.address,
  });
  store.append("control", {
    id: "set",
    body: {
      type: "set.changed",
      expectedVersion: 0,
      change: { put: set, removed: [] },
      operator: "test",
    },
  });
  const peers = await Promise.all([findFreeAddress(), findFreeAddress()]);
  const daemons = await Promise.all(peers.map(async (address, index) => {
    const callers = await findFreeAddress();
    const settings = DaemonSettings.parse({
      daemon: {
        name: `entry-${index}`,
        region: "great-lakes",
        data_centre: "detroit",
      },
      callers: { address: callers },
      operators: { address: await findFreeAddress() },
      peers: { address, key: "key-of-the-test-peers", seeds: peers },
      platform: { log: log.address, hosts: hostList.address },
      operator: {},
      caller: { team: { key: KEY } },
      bounds: { unready_ms: 0 },
    });
    const events = createEventLog({ format: "hidden" });
    const running = await startDaemon(settings, { events });
    let stopping: Promise<boolean> | undefined;
    const stop = () => stopping ??= running.stop("test");
    return { running, callers, stop };
  }));
  closers.push(
    ...daemons.map(({ stop }) => stop),
    ...[log, hostList, ...executors].map((it) => () => it.close()),
  );
  for (const { running, callers } of daemons) {
    await waitForSlots(running);
    // Orders are refused until the daemon has read the claims from the log.
    for (let count = 0, status = 0; status !== 200; count += 1) {
      ({ status } = await order(callers, `warm-up-${callers}-${count}`));
    }
  }
  return { daemons, executors, store };
}

async function waitForSlots({ daemon }: RunningDaemon): Promise<void> {
  while ((daemon.requestPath.freeSlotsByPool().get("orders") ?? 0) === 0) {
    await new Promise((resolve) => setTimeout(resolve, 20));
  }
}

async function order(callers: string, key: string, query = "") {
  const url = `http://${callers}/v1/services/orders/a${query}`;
  const answer = await fetch(url, {
    method: "POST",
    headers: { authorization: `Bearer ${KEY}`, "idempotency-key": key },
    body: "one pair",
  });
  return { status: answer.status, text: await answer.text() };
}

describe("two daemons", () => {
  // Guards against a second run when the caller repeats an order at another
  // entry host during the first run, after it or after a graceful stop.
  test("run an order once", async () => {
    const { daemons, executors } = await startFleet();
    const [first, second] = daemons;
    const query = "?run_ms=200";
    const running = order(first!.callers, "k-1", query);
    await new Promise((resolve) => setTimeout(resolve, 100));
    const during = order(second!.callers, "k-1", query);
    const stopped = first!.stop();
    const answers = [await running, await during];
    expect(await stopped).toBe(true);
    answers.push(await order(second!.callers, "k-1", query));
    expect(answers[0]!.status).toBe(200);
    expect(answers).toEqual([answers[0], answers[0], answers[0]]);
    const runs = executors.map(({ stats }) => stats.runsByKey["k-1"] ?? 0);
    expect(runs[0]! + runs[1]!).toBe(1);
  });
});
