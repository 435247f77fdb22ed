import { afterEach, beforeEach, expect, test } from "@jest/globals";
import { type AddressInfo, createServer, type Socket } from "node:net";
import { type BlockedPort, openBlockedPort } from "./_blocked_port.ts";
import { openSlowWay, type SlowWay } from "./_slow_way.ts";
import {
  type CallFailure,
  createOwnerClient,
  type OwnerClient,
} from "./create_owner_client.ts";
import {
  createOwnerServer,
  type OwnerHandlers,
  type OwnerServer,
} from "./create_owner_server.ts";

/** Time that each call takes longer on the slow way of issue 68. */
const EXTRA_MS = 840;

/** Time without calls after which a connection counts as idle. */
const IDLE_MS = 1_100;

/** Time after which a caller repeats a call. */
const RETRY_DELAY_MS = 100;

let server: OwnerServer;
let way: SlowWay | undefined;
let blocked: BlockedPort | undefined;
let client: OwnerClient;
let failures: CallFailure[];
let showDelayMs: number;

function createHandlers(): OwnerHandlers {
  return {
    async show() {
      await sleep(showDelayMs);
      return { isOwner: true };
    },
    countPending: () => ({ isOwner: true }),
    report: () => ({ isOwner: true }),
    relay: () => Promise.resolve({}),
    limit: () => ({ isOwner: true }),
    reach: () => ({ isStoreReached: true }),
    configuration: () => ({ version: 1 }),
  };
}

beforeEach(async () => {
  failures = [];
  showDelayMs = 0;
  server = await createOwnerServer(createHandlers(), {
    host: "127.0.0.1",
    port: 0,
  });
});

afterEach(async () => {
  client.close();
  way?.close();
  await blocked?.close();
  await server.close();
  way = undefined;
  blocked = undefined;
});

function call(address: string): void {
  client = createOwnerClient(address, {
    onFailure: (failure) => failures.push(failure),
  });
}

async function callOverWay(delayMs: number): Promise<SlowWay> {
  way = await openSlowWay(server.address, { delayMs });
  call(way.address);
  return way;
}

/** Calls again and again until there is an answer. */
async function callRepeatedly(
  send: () => Promise<unknown>,
  tries: number,
): Promise<boolean> {
  for (let calls = 0; calls < tries; calls++) {
    if (await send() !== undefined) return true;
    await sleep(RETRY_DELAY_MS);
  }
  return false;
}

const sleep = (ms: number) => new Promise((resolve) => setTimeout(resolve, ms));

// Guards against a connection that is opened for minutes, as its first packets
// were lost, and that all calls to the member wait for.
test("gives up a connection that is not established", async () => {
  blocked = await openBlockedPort();
  call(blocked.address);
  expect(await client.reach(5_000)).toBeUndefined();
  expect(failures).toMatchObject([{
    code: "unavailable",
    connection: "error",
  }]);
});

// Guards against calls that wait for good for the check of a connection, as
// another call to the member ends meanwhile.
test("replaces a dead connection beside a call that ends", async () => {
  const { dropOpen } = await callOverWay(0);
  const show = () => client.show({ partition: 1, job: "a1" }, 800);
  await show();
  dropOpen();
  await sleep(500);
  void show();
  await sleep(600);
  expect(await callRepeatedly(show, 10)).toBe(true);
});

// Guards against a dead connection that is kept as no call lasts long enough.
test("replaces a dead connection after short calls", async () => {
  const { dropOpen } = await callOverWay(0);
  await client.reach(800);
  dropOpen();
  expect(await callRepeatedly(() => client.reach(250), 10)).toBe(true);
});

// Guards against checks that end each connection to a member whose answers take
// longer.
test("keeps the connection on a slow way", async () => {
  const { connectionCount } = await callOverWay(EXTRA_MS / 2);
  for (let calls = 0; calls < 3; calls++) {
    expect(await client.reach(3_000)).toBeDefined();
    await sleep(IDLE_MS);
  }
  expect(connectionCount()).toBe(1);
});

// Guards against a connection that is replaced while a call on it takes long,
// as the next one would be, too.
test("keeps the connection of a call that takes long", async () => {
  const { connectionCount } = await callOverWay(0);
  await client.reach(800);
  showDelayMs = 1_500;
  const show = () => client.show({ partition: 1, job: "a1" }, 2_500);
  expect(await show()).toBeDefined();
  expect(connectionCount()).toBeLessThanOrEqual(2);
  expect(await show()).toBeDefined();
});

// Guards against an error that ends the process: what listens at the address
// of a member speaks another protocol.
test("outlives a member that answers with something else", async () => {
  const sockets = new Set<Socket>();
  const other = createServer((socket) => {
    sockets.add(socket);
    socket.on("error", () => undefined);
    socket.on("data", () => socket.write("HTTP/1.1 400 Bad Request\r\n\r\n"));
  });
  await new Promise<void>((resolve) =>
    other.listen(0, "127.0.0.1", () => resolve())
  );
  call(`127.0.0.1:${(other.address() as AddressInfo).port}`);
  for (let calls = 0; calls < 12; calls++) {
    expect(await client.reach(300)).toBeUndefined();
    await sleep(RETRY_DELAY_MS);
  }
  for (const socket of sockets) socket.destroy();
  other.close();
});

// Guards against calls that all fail alike, as an answer takes longer.
test.each([300, 500, EXTRA_MS])(
  "gets answers where calls take %d ms longer",
  async (extraMs) => {
    await callOverWay(extraMs / 2);
    const report = () =>
      client.report({ partition: 1 }, { leastMs: 250, mostMs: 2_000 });
    expect(await callRepeatedly(report, 4)).toBe(true);
    await sleep(IDLE_MS);
    expect(await callRepeatedly(report, 1)).toBe(true);
  },
);

// Guards against a silent member that is taken for one that answers.
test("tells whether the member has answered last", async () => {
  const { dropOpen } = await callOverWay(0);
  await client.reach(1_000);
  expect(client.isAnswering()).toBe(true);
  dropOpen();
  await client.reach(100);
  expect(client.isAnswering()).toBe(false);
});
