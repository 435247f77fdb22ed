/**
 * Daemons of one test process that share a log in memory and call each other
 * without sockets.
 *
 * @module
 */

import {
  create,
  type DescMessage,
  type MessageInitShape,
} from "@bufbuild/protobuf";
import type { ObjectSet } from "@lagoonloom/objects";
import {
  AwaitOutcomeRequestSchema,
  AwaitOutcomeResponseSchema,
  ForwardRequestSchema,
  ForwardResponseSchema,
  HeartbeatRequestSchema,
  HeartbeatResponseSchema,
  type PeerClient,
  type PeerOutcome,
  SnapshotChunkSchema,
  TailRequestSchema,
  TailResponseSchema,
} from "@lagoonloom/peers";
import type { ListedHost } from "@lagoonloom/platform";
import {
  createLogStore,
  createPlatformStandin,
  createTestFleet,
} from "@lagoonloom/standins";
import { createEventLog, createMetrics } from "@lagoonloom/telemetry";
import { createDaemon, type Daemon } from "./create_daemon.ts";
import { parseDaemonSettings } from "./settings.ts";

/** Daemon of a test and the ids of the events that it logged. */
export type TestDaemon = Daemon & {
  name: string;
  address: string;
  events: string[];
  /** Whether this daemon can't reach the log. */
  isCutOff: boolean;
  /** Time until calls of other daemons reach this one, in milliseconds. */
  callDelayMs: number;
};

/** Time in milliseconds until a call reaches a daemon. */
const CALL_DELAY_MS = 1;

/** Creates a log in memory, to which daemons can be added. */
export function createDeployment(options: { retentionMs?: number } = {}) {
  const store = createLogStore(options);
  const byAddress = new Map<string, TestDaemon>();
  const hosts: ListedHost[] = [];
  let incarnations = 0;

  /** Starts a daemon by its number from 1 on; the others are its seeds. */
  function start(number: number, isCutOff = false): TestDaemon {
    const name = `detroit-${number}`;
    const address = addressOf(number);
    const events: string[] = [];
    const daemon = createDaemon({
      settings: createSettings(number),
      platform: createPlatformStandin(store, {
        hosts: () => hosts,
        isUnreachable: () => result.isCutOff,
      }),
      connectPeer: (peer) => connect(() => byAddress.get(peer)),
      events: createEventLog({
        format: "hidden",
        onEvent: ({ id }) => events.push(id),
      }),
      metrics: createMetrics(),
      createIncarnation: () => `i${++incarnations}`,
    });
    const result: TestDaemon = {
      ...daemon,
      name,
      address,
      events,
      isCutOff,
      callDelayMs: CALL_DELAY_MS,
    };
    byAddress.set(address, result);
    daemon.start();
    return result;
  }

  return {
    store,
    hosts,
    start,
    /** Stops a daemon that stays a member; its address refuses connections. */
    async kill(daemon: TestDaemon): Promise<void> {
      byAddress.delete(daemon.address);
      await daemon.stop({ isDrained: false });
    },
  };
}

function addressOf(number: number): string {
  return `127.0.0.1:${25_000 + number}`;
}

function createSettings(number: number) {
  const seeds = [1, 2, 3].map(addressOf).join(",");
  const text = `
[daemon]
name = detroit-${number}
region = great-lakes
data_centre = detroit
[callers]
address = 127.0.0.1:24001
[operators]
address = 127.0.0.1:24002
[peers]
address = ${addressOf(number)}
key = sixteen-characters
seeds = ${seeds}
[platform]
log = 127.0.0.1:24003
[operator ada]
key = sixteen-characters
`;
  return parseDaemonSettings(text, { file: "test.ini" }).unsafeCoerce();
}

/** Returns a publication of a whole set. */
export function publicationOf(
  publicationId: string,
  fields: { expectedVersion: number; set?: ObjectSet },
) {
  const { expectedVersion, set = createTestFleet() } = fields;
  const change = { put: set, removed: [] };
  return { publicationId, expectedVersion, operator: "ada", change };
}

const REFUSED = {
  type: "unreachable" as const,
  mayHaveArrived: false,
  isConnectionRefused: true,
  reason: "refused",
};

const TIMED_OUT = {
  type: "unreachable" as const,
  mayHaveArrived: true,
  isConnectionRefused: false,
  reason: "timeout",
};

const sleep = (ms: number) => new Promise((resolve) => setTimeout(resolve, ms));

/** Creates a client that calls the handlers of a daemon directly. */
function connect(find: () => TestDaemon | undefined): PeerClient {
  type Handlers = Daemon["peerHandlers"];
  async function call<Response extends DescMessage>(
    schema: Response,
    run: (
      handlers: Handlers,
    ) =>
      | MessageInitShape<Response>
      | Promise<MessageInitShape<Response>>,
    timeoutMs = Infinity,
  ) {
    const delayMs = find()?.callDelayMs ?? CALL_DELAY_MS;
    await sleep(Math.min(delayMs, timeoutMs));
    if (delayMs > timeoutMs) return TIMED_OUT;
    const daemon = find();
    if (daemon === undefined) return REFUSED;
    const response = create(schema, await run(daemon.peerHandlers));
    return { type: "answered" as const, response };
  }
  const { signal } = new AbortController();
  return {
    heartbeat: (request, { timeoutMs }) =>
      call(
        HeartbeatResponseSchema,
        (it) => it.heartbeat(create(HeartbeatRequestSchema, request)),
        timeoutMs,
      ),
    forward: (request) =>
      call(
        ForwardResponseSchema,
        (it) => it.forward(create(ForwardRequestSchema, request), signal),
      ),
    awaitOutcome: (request) =>
      call(
        AwaitOutcomeResponseSchema,
        (it) =>
          it.awaitOutcome(create(AwaitOutcomeRequestSchema, request), signal),
      ),
    tail: (request) =>
      call(
        TailResponseSchema,
        (it) => it.tail(create(TailRequestSchema, request)),
      ),
    snapshot() {
      const daemon = find();
      if (daemon === undefined) return Promise.resolve(REFUSED);
      const response = [...daemon.peerHandlers.snapshot()]
        .map((chunk) => create(SnapshotChunkSchema, chunk));
      return Promise.resolve<PeerOutcome<typeof response>>({
        type: "answered",
        response,
      });
    },
    close: () => undefined,
  };
}
