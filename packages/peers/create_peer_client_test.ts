import { describe, expect, test } from "@jest/globals";
import { createPeerClient } from "./create_peer_client.ts";
import { createPeerServer } from "./create_peer_server.ts";
import type { PeerHandlers } from "./peer_handlers.ts";

const CALL_OPTIONS = { timeoutMs: 5_000 };

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
  // Guards against calls that do not reach their handlers.
  test("calls the handlers", () =>
    withServer(async (address) => {
      const client = createPeerClient(address, { key: "k1" });
      const beat = await client.heartbeat({ member: "a" }, CALL_OPTIONS);
      const tail = await client.tail({ fromOffset: 7n }, CALL_OPTIONS);
      const chunks = await client.snapshot(CALL_OPTIONS);
      client.close();
      expect(beat).toMatchObject({ response: { promiseMs: 3_000 } });
      expect(tail).toMatchObject({ response: { nextOffset: 7n } });
      expect(chunks).toMatchObject({ response: [{ nextOffset: 1n }, {}] });
    }));

  // Guards against calls of a process that does not have the shared key.
  test("reports a wrong key as a call that did not arrive", () =>
    withServer(async (address) => {
      const client = createPeerClient(address, { key: "k2" });
      const beat = await client.heartbeat({ member: "a" }, CALL_OPTIONS);
      client.close();
      expect(beat).toMatchObject({
        type: "unreachable",
        mayHaveArrived: false,
        isConnectionRefused: false,
      });
    }));

  // Guards against a call that never ends, and against one that may have run
  // but is reported as not received.
  test("reports that a call may have arrived after its deadline", () =>
    withServer(async (address) => {
      const client = createPeerClient(address, { key: "k1" });
      const outcome = await client.forward({}, { timeoutMs: 50 });
      client.close();
      expect(outcome).toMatchObject({ mayHaveArrived: true });
    }));

  // Guards against a dead process that is not detected by the member that
  // monitors it, with and without an earlier connection.
  test("reports a refused connection if no process listens", async () => {
    let address = "";
    let client = createPeerClient("127.0.0.1:1", { key: "k1" });
    await withServer(async (bound) => {
      address = bound;
      client = createPeerClient(address, { key: "k1" });
      await client.heartbeat({ member: "a" }, CALL_OPTIONS);
    });
    await client.heartbeat({ member: "a" }, CALL_OPTIONS);
    const outcome = await client.heartbeat({ member: "a" }, CALL_OPTIONS);
    client.close();
    expect(outcome).toMatchObject({
      mayHaveArrived: false,
      isConnectionRefused: true,
    });
  });
});
