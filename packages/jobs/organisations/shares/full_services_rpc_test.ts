import { expect, test } from "@jest/globals";
import { createOwnerClient, createOwnerServer } from "@lagoonloom/peers";
import { createOwnerHandlers } from "../../owner_handlers.ts";
import type { PartitionOwner } from "../../owned/partition_owner.ts";
import type { Store } from "../../ports.ts";
import type { FullService } from "./full_services.ts";
import type { HeldConfiguration } from "../keys/held_configuration.ts";

// Guards against what an owner says of full services that does not reach the
// other members, also for an organisation of weight 0.
test("members hear of full services with each answer", async () => {
  const full: FullService[] = [{
    service: "quoting",
    spent: [
      { organisation: "league", readyInMs: 812.5, intervalMs: 400 },
      { organisation: "none", readyInMs: 30_000, intervalMs: Infinity },
    ],
  }];
  const owner: Partial<PartitionOwner> = {
    isLoaded: () => true,
    getJobState: () => Promise.resolve({ type: "missing" }),
    countPending: () => 4,
    fullServices: () => full,
  };
  const owners = new Map([[3, owner as PartitionOwner]]);
  const handlers = createOwnerHandlers(owners, {
    store: {} as Store,
    held: {} as HeldConfiguration,
    isStoreReached: () => true,
  });
  const server = await createOwnerServer(handlers, {
    host: "127.0.0.1",
    port: 0,
  });
  const client = createOwnerClient(server.address, {
    onFailure: () => undefined,
  });
  const shown = await client.show({ partition: 3, job: "a1" }, 5_000);
  const counted = await client.countPending(
    { partition: 3, queue: "q" },
    5_000,
  );
  const elsewhere = await client.show({ partition: 4, job: "a1" }, 5_000);
  client.close();
  await server.close();
  expect(shown?.full).toMatchObject(full);
  expect(counted?.full).toMatchObject(full);
  expect(elsewhere).toMatchObject({ isOwner: false, full: [] });
});
