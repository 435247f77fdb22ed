import { afterEach, beforeEach, expect, test } from "@jest/globals";
import { type BlockedPort, openBlockedPort } from "./_blocked_port.ts";
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

let server: OwnerServer;
let blocked: BlockedPort | undefined;
let client: OwnerClient;
let failures: CallFailure[];

function createHandlers(): OwnerHandlers {
  return {
    show: () => Promise.resolve({ isOwner: true }),
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
  server = await createOwnerServer(createHandlers(), {
    host: "127.0.0.1",
    port: 0,
  });
});

afterEach(async () => {
  client.close();
  await blocked?.close();
  await server.close();
  blocked = undefined;
});

function call(address: string): void {
  client = createOwnerClient(address, {
    onFailure: (failure) => failures.push(failure),
  });
}

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
