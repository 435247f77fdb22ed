import { createMemoryStore } from "@lagoonloom/standins";
import {
  createOwnerClient,
  createOwnerServer,
  type OwnerClient,
  type OwnerServer,
} from "@lagoonloom/peers";
import { afterEach, beforeEach, expect, test } from "@jest/globals";
import { createOwnerHandlers } from "../../owner_handlers.ts";
import { decodeKeys, encodeKeys } from "./_key_fixtures.ts";
import {
  createHeldConfiguration,
  type HeldConfiguration,
} from "./held_configuration.ts";
import { earlierBy, readInstant } from "./instant.ts";

const TIMEOUT_MS = 5_000;

let held: HeldConfiguration;
let server: OwnerServer;
let client: OwnerClient;

beforeEach(async () => {
  held = createHeldConfiguration({
    decode: decodeKeys,
    onTaken: () => undefined,
    onUnreadable: () => undefined,
  });
  const store = createMemoryStore({ partitions: 1 });
  const handlers = createOwnerHandlers(new Map(), {
    store,
    held,
    isStoreReached: () => true,
  });
  server = await createOwnerServer(handlers, { host: "127.0.0.1", port: 0 });
  client = createOwnerClient(server.address, { onFailure: () => undefined });
});

afterEach(async () => {
  client.close();
  await server.close();
});

// Guards against a member that answers without a configuration, or with the
// whole record each time.
test("a member tells its configuration, age and newer record", async () => {
  const ask = (knownVersion: number) =>
    client.configuration({ knownVersion }, TIMEOUT_MS);
  expect(await ask(-1)).toMatchObject({ version: -1 });
  const source = held.createSource();
  const record = encodeKeys(7, ["a"]);
  source.offer(record);
  expect((await ask(6))?.ageMs).toBeUndefined();
  source.confirm(earlierBy(readInstant(), 60_000));
  const newer = await ask(6);
  expect(newer).toMatchObject({ version: 7, record });
  expect(newer?.ageMs).toBeGreaterThanOrEqual(60_000);
  expect((await ask(7))?.record).toBeUndefined();
});
