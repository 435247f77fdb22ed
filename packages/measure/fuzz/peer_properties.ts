/**
 * Fuzz properties of the calls between daemons.
 *
 * @module
 */

import { create } from "@bufbuild/protobuf";
import { createDaemon, parseDaemonSettings } from "@lagoonloom/daemon";
import {
  createPeerClient,
  createPeerServer,
  HeartbeatRequestSchema,
  type PeerHandlers,
  TailRequestSchema,
} from "@lagoonloom/peers";
import { createLogStore, createPlatformStandin } from "@lagoonloom/standins";
import { createEventLog, createMetrics } from "@lagoonloom/telemetry";
import fc from "fast-check";
import { connect } from "node:http2";
import type { FuzzProperty } from "./fuzz_property.ts";
import { DAEMON_SETTINGS } from "./text_properties.ts";

const KEY = "sixteen-characters";
const MAX_BYTES = 2_000;

/** Time in milliseconds within which each call must be answered. */
const RESPONSE_TIMEOUT_MS = 10_000;

const METHODS = ["Heartbeat", "Forward", "AwaitOutcome", "Snapshot", "Tail"];

const call = fc.record({
  key: fc.constantFrom(KEY, "", "other", `${KEY}x`),
  method: fc.constantFrom(...METHODS, "None"),
  type: fc.constantFrom(
    "application/proto",
    "application/json",
    "application/connect+proto",
    "text/plain",
    "",
  ),
  size: fc.constantFrom("small", "oversized"),
  bytes: fc.uint8Array({ maxLength: 200 }),
});

type Call = {
  key: string;
  method: string;
  type: string;
  size: string;
  bytes: Uint8Array;
};

const names = fc.constantFrom("__proto__", "constructor", "", "detroit-2");
const uint64 = fc.bigInt({ min: 0n, max: 2n ** 64n - 1n });
const uint32 = fc.oneof(fc.nat(20), fc.constantFrom(2 ** 31, 2 ** 32 - 1));

const heartbeat = fc.record({
  member: names,
  incarnation: names,
  dataCentre: names,
  nextOffset: uint64,
  generation: uint64,
  setVersion: uint64,
  slotBasis: uint64,
  logAgeMs: uint32,
  freeSlots: fc.array(fc.record({ pool: names, free: uint32, lent: uint32 })),
  held: fc.array(fc.record({ host: names, slot: uint32 })),
  busyHosts: fc.array(names),
});

/** Properties of the calls between daemons. */
export const PEER_PROPERTIES: readonly FuzzProperty[] = [
  {
    // A call without the key is never handled, and no input stops the server.
    name: "peer-calls",
    async check(run) {
      let calls = 0;
      const server = await createPeerServer(
        createHandlers(() => calls++),
        { host: "127.0.0.1", port: 0, key: KEY, maxMessageBytes: MAX_BYTES },
      );
      const client = createPeerClient(server.address, { key: KEY });
      const property = fc.asyncProperty(call, async (generated) => {
        calls = 0;
        const status = await post(server.address, generated);
        const mayRun = generated.key === KEY && generated.size === "small";
        if (calls > 0 && !mayRun) {
          throw new Error("A call that had to be refused was handled.");
        }
        if (generated.key !== KEY && status !== 401) {
          throw new Error(`A call without the key got status ${status}.`);
        }
        const response = await client.heartbeat({}, {
          timeoutMs: RESPONSE_TIMEOUT_MS,
        });
        if (response.type !== "answered") throw new Error(response.reason);
      });
      await fc.assert(property, run).finally(() => {
        client.close();
        return server.close();
      });
    },
  },
  {
    // Calls of peers never change the state that results from the log.
    name: "peer-messages",
    async check(run) {
      const { peerHandlers, fold } = createIdleDaemon();
      const tail = fc.record({ fromOffset: uint64, limit: uint32 });
      fc.assert(
        fc.property(heartbeat, tail, (beat, range) => {
          peerHandlers.heartbeat(create(HeartbeatRequestSchema, beat));
          const page = peerHandlers.tail(create(TailRequestSchema, range));
          const { nextOffset } = fold.state();
          if (nextOffset !== 0 || page.records?.length !== 0) {
            throw new Error("A message of a peer changed the state.");
          }
        }),
        run,
      );
    },
  },
];

function createHandlers(onCall: () => void): PeerHandlers {
  const answer = () => {
    onCall();
    return {};
  };
  return {
    heartbeat: answer,
    forward: async () => answer(),
    awaitOutcome: async () => answer(),
    snapshot: () => [answer()],
    tail: answer,
  };
}

function createIdleDaemon() {
  return createDaemon({
    settings: parseDaemonSettings(DAEMON_SETTINGS, { file: "a.ini" })
      .unsafeCoerce(),
    platform: createPlatformStandin(createLogStore()),
    connectPeer: (address) => createPeerClient(address, { key: KEY }),
    events: createEventLog({ format: "hidden" }),
    metrics: createMetrics(),
    createIncarnation: () => "i1",
  });
}

/** Posts bytes on a new connection; returns the status, or 0 without one. */
function post(address: string, generated: Call): Promise<number> {
  const session = connect(`http://${address}`);
  session.on("error", () => undefined);
  return new Promise<number>((resolve, reject) => {
    const timer = setTimeout(
      () =>
        reject(new Error(`The call of ${generated.method} was not answered.`)),
      RESPONSE_TIMEOUT_MS,
    );
    let status = 0;
    const stream = session.request({
      ":method": "POST",
      ":path": `/lagoonloom.peers.v1.PeerService/${generated.method}`,
      "content-type": generated.type,
      ...(generated.key !== "" && { authorization: `Bearer ${generated.key}` }),
    });
    stream.on("response", (headers) => status = headers[":status"] ?? 0);
    stream.on("error", () => undefined);
    stream.on("close", () => {
      clearTimeout(timer);
      resolve(status);
    });
    stream.resume();
    const isOversized = generated.size === "oversized";
    stream.end(isOversized ? Buffer.alloc(MAX_BYTES * 4, 10) : generated.bytes);
  }).finally(() => session.destroy());
}
