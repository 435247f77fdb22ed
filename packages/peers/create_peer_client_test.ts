import { describe, expect, test } from "@jest/globals";
import { createPeerClient } from "./create_peer_client.ts";
import { createPeerServer } from "./create_peer_server.ts";
import type { PeerHandlers } from "./peer_handlers.ts";

const CALL = { timeoutMs: 5_000 };

function createHandlers(): PeerHandlers {
  return {
    heartbeat: (request) => ({ member: request.member, promiseMs: 3_000 }),
    forward: () => new Promise(() => undefined),
    awaitOutcome: async () => ({}),
    snapshot: () => [{ nextOffset: 1n }, { nextOffset: 1n }],
    tail: ({ fromOffset }) => ({ nextOffset: fromOffset }),
  };
}

async function withServer(
  use: (address: string) => Promise<void>,
): Promise<void> {
  const options = { host: "127.0.0.1", port: 0, key: "k1" };
  const server = await createPeerServer(createHandlers(), options);
  try {
    await use(server.address);
  } finally {
    await server.close();
  }
}

describe("createPeerClient()", () => {
  // Guards against calls that don't reach their handlers.
  test("calls the handlers", () =>
    withServer(async (address) => {
      const client = createPeerClient(address, { key: "k1" });
      const beat = await client.heartbeat({ member: "a" }, CALL);
      const tail = await client.tail({ fromOffset: 7n }, CALL);
      const chunks = await client.snapshot(CALL);
      client.close();
      expect(beat).toMatchObject({ response: { promiseMs: 3_000 } });
      expect(tail).toMatchObject({ response: { nextOffset: 7n } });
      expect(chunks).toMatchObject({ response: [{ nextOffset: 1n }, {}] });
    }));

  // Guards against a process without the shared key taking part.
  test("is refused with a wrong key", () =>
    withServer(async (address) => {
      const client = createPeerClient(address, { key: "k2" });
      const beat = await client.heartbeat({ member: "a" }, CALL);
      client.close();
      expect(beat).toMatchObject({
        type: "unreachable",
        mayHaveArrived: false,
        isConnectionRefused: false,
      });
    }));

  // Guards against a call that waits for ever, and against a call that may
  // have run being taken for one that didn't.
  test("may have arrived when the deadline ends it", () =>
    withServer(async (address) => {
      const client = createPeerClient(address, { key: "k1" });
      const outcome = await client.forward({}, { timeoutMs: 50 });
      client.close();
      expect(outcome).toMatchObject({ mayHaveArrived: true });
    }));

  // Guards against the watcher's dead process not being recognised, before
  // and after a connection existed.
  test("recognises that nothing listens", async () => {
    let address = "";
    let client = createPeerClient("127.0.0.1:1", { key: "k1" });
    await withServer(async (bound) => {
      address = bound;
      client = createPeerClient(address, { key: "k1" });
      await client.heartbeat({ member: "a" }, CALL);
    });
    await client.heartbeat({ member: "a" }, CALL);
    const outcome = await client.heartbeat({ member: "a" }, CALL);
    client.close();
    expect(outcome).toMatchObject({
      mayHaveArrived: false,
      isConnectionRefused: true,
    });
  });
});
