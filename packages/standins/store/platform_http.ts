/**
 * Serves the store and the executors in memory over the platform's HTTP API,
 * for tests that start processes.
 *
 * @module
 */

import type {
  ExecutorClient,
  KeyedRecord,
  RunEnd,
  RunReport,
  TopicPartition,
} from "@lagoonloom/jobs";
import { createServer, type IncomingMessage } from "node:http";
import type { AddressInfo } from "node:net";
import type { MemoryExecutors } from "./memory_executors.ts";
import type { MemoryStore } from "./memory_store.ts";

/** Prefix that names of compacted topics have in the HTTP API. */
const KEYED_PREFIX = "keyed.";

/** HTTP server of a store or an executor in memory. */
export type PlatformServer = { address: string; close(): Promise<void> };

type PlatformResponse = { status: number; body: Buffer | object };

type PlatformRequest = { query: URLSearchParams; body: Buffer };

/** Serves a store on a free port of the loopback address. */
export function serveMemoryStore(store: MemoryStore): Promise<PlatformServer> {
  return serve(async (path, request) => {
    switch (path) {
      case "log-append":
        return await handleAppend(store, request);
      case "log-read":
        return await handleRead(store, request);
      case "log-newest":
        return await handleReadNewest(store, request);
      case "log-join":
        return await handleJoin(store, request);
      case "log-leave": {
        const { group, member } = JSON.parse(request.body.toString());
        await store.leave({ group, member });
        return { status: 200, body: {} };
      }
      case "log-owners": {
        const owners = await store.owners(request.query.get("group") ?? "");
        const rows = [...owners ?? []].map(([partition, member]) => [
          `${KEYED_PREFIX}jobs`,
          partition,
          member,
          0,
        ]);
        return {
          status: owners === undefined ? 503 : 200,
          body: { parts: rows },
        };
      }
      default:
        return { status: 404, body: {} };
    }
  });
}

/**
 * Serves an executor on a free port of the loopback address. The caller puts
 * the returned address into the executor's report.
 */
export function serveMemoryExecutor(
  executors: MemoryExecutors,
  id: string,
): Promise<PlatformServer> {
  const target = { id, address: "" };
  return serve(async (path, request) => {
    const body = JSON.parse(request.body.toString());
    const { task, run, fencingToken } = body;
    switch (path) {
      case "run-start":
        return createStartResponse(
          await executors.start(target, {
            task,
            run,
            token: fencingToken,
            spec: body.spec,
            leaseExpiryMs: body.untilMs,
            checkpoint: body.checkpoint ?? "",
            ticket: body.ticket ?? "",
          }),
        );
      case "run-stop": {
        const outcome = await executors.stop(target, {
          task,
          run,
          token: fencingToken,
        });
        return { status: outcome.type === "done" ? 200 : 409, body: {} };
      }
      case "hold":
        return createPollResponse(
          await executors.poll(target, {
            ...(body.untilMs === undefined
              ? {}
              : { leaseExpiryMs: body.untilMs }),
            token: fencingToken,
            acknowledgedSequence: body.lastSeen,
            waitMs: body.waitMs ?? 0,
          }),
        );
      default:
        return { status: 404, body: {} };
    }
  });
}

function createStartResponse(
  outcome: Awaited<ReturnType<ExecutorClient["start"]>>,
): PlatformResponse {
  if (outcome.type === "started") {
    return { status: 200, body: { clockMs: outcome.clockMs } };
  }
  const reason = outcome.type === "refused" ? outcome.reason : "fence";
  return { status: 409, body: { reason } };
}

function createPollResponse(
  outcome: Awaited<ReturnType<ExecutorClient["poll"]>>,
): PlatformResponse {
  if (outcome.type !== "polled") {
    return { status: 409, body: { reason: "fence" } };
  }
  const createRunRow = (
    { task, run, checkpoint, progressPercent, load }: RunReport,
  ) => [
    task,
    run,
    checkpoint,
    progressPercent,
    load,
  ];
  const createEndRow = (
    { sequence, task, run, result, checkpoint }: RunEnd,
  ) => [
    sequence,
    task,
    run,
    result,
    checkpoint,
  ];
  return {
    status: 200,
    body: {
      clockMs: outcome.clockMs,
      born: outcome.startedAtMs,
      running: outcome.running.map(createRunRow),
      finished: outcome.ended.map(createEndRow),
    },
  };
}

async function handleAppend(
  store: MemoryStore,
  { query, body }: PlatformRequest,
): Promise<PlatformResponse> {
  const records = parseFrames(body);
  const epoch = query.get("epoch");
  const expectedNextOffset = query.get("at");
  const outcome = await store.append(parsePartition(query), {
    records,
    timeoutMs: 0,
    ...(expectedNextOffset === null
      ? {}
      : { expectedNextOffset: Number(expectedNextOffset) }),
    ...(epoch === null ? {} : {
      writer: {
        name: query.get("producer") ?? "",
        epoch: Number(epoch),
        sequence: Number(query.get("seq") ?? 0),
      },
    }),
  });
  switch (outcome.type) {
    case "stored":
      return { status: 200, body: { offset: 0, end: 0 } };
    case "conflict":
      return { status: 412, body: {} };
    case "fenced":
      return { status: 409, body: { reason: "fenced" } };
    case "outOfSequence":
      return { status: 409, body: { reason: "seq", seq: outcome.expected } };
    default:
      return { status: 503, body: {} };
  }
}

async function handleRead(
  store: MemoryStore,
  { query }: PlatformRequest,
): Promise<PlatformResponse> {
  const outcome = await store.read(parsePartition(query), {
    from: Number(query.get("from")),
    waitMs: Number(query.get("waitMs") ?? 0),
  });
  if (outcome.type === "failed") return { status: 503, body: {} };
  if (outcome.type === "gap") return { status: 410, body: { first: 0 } };
  // The header holds the next offset in its first 8 bytes.
  const header = Buffer.alloc(16);
  header.writeBigUInt64BE(BigInt(outcome.nextOffset), 0);
  return {
    status: 200,
    body: Buffer.concat([header, ...outcome.records.map(encodeFrame)]),
  };
}

async function handleReadNewest(
  store: MemoryStore,
  { query }: PlatformRequest,
): Promise<PlatformResponse> {
  const outcome = await store.readNewest(parsePartition(query));
  if (outcome.type === "failed") return { status: 503, body: {} };
  const items = outcome.records.map(({ key, value, offset }) => ({
    key,
    value: Buffer.from(value ?? "").toString("base64"),
    offset,
  }));
  return {
    status: 200,
    body: { items, hasMore: false, end: outcome.nextOffset },
  };
}

async function handleJoin(
  store: MemoryStore,
  { body }: PlatformRequest,
): Promise<PlatformResponse> {
  const { group, member, topics, ttlMs, generation } = JSON.parse(
    body.toString(),
  );
  const [topic] = topics;
  const outcome = await store.join({ group, member, topic, ttlMs, generation });
  if (outcome.type === "failed") return { status: 503, body: {} };
  const parts = outcome.partitions.map((partition) => [topic, partition, 0]);
  return { status: 200, body: { generation: outcome.generation, parts } };
}

/** Reads the topic, without its prefix, and the partition from a query. */
function parsePartition(query: URLSearchParams): TopicPartition {
  const topic = query.get("topic") ?? "";
  return {
    topic: topic.startsWith(KEYED_PREFIX)
      ? topic.slice(KEYED_PREFIX.length)
      : topic,
    partition: Number(query.get("part")),
  };
}

/**
 * Encodes a record as a 4-byte length followed by the length of the key in one
 * byte, the key and the value.
 */
function encodeFrame({ key, value }: KeyedRecord): Buffer {
  const content = Buffer.concat([
    Buffer.from([Buffer.byteLength(key)]),
    Buffer.from(key),
    Buffer.from(value ?? ""),
  ]);
  const length = Buffer.alloc(4);
  length.writeUInt32BE(content.length);
  return Buffer.concat([length, content]);
}

/** Decodes the frames of an append; an empty value is a tombstone. */
function parseFrames(body: Buffer): KeyedRecord[] {
  const records: KeyedRecord[] = [];
  for (let offset = 0; offset < body.length;) {
    const length = body.readUInt32BE(offset);
    const content = body.subarray(offset + 4, offset + 4 + length);
    const keyEnd = 1 + content[0]!;
    const value = content.toString("utf8", keyEnd);
    records.push({
      key: content.toString("utf8", 1, keyEnd),
      value: value === "" ? undefined : value,
    });
    offset += 4 + length;
  }
  return records;
}

/** Serves calls below `/lagoonloom/`; `handle` gets the rest of the path. */
async function serve(
  handle: (
    path: string,
    request: PlatformRequest,
  ) => Promise<PlatformResponse>,
): Promise<PlatformServer> {
  const server = createServer((incoming, outgoing) => {
    void readBody(incoming).then(async (body) => {
      const url = new URL(incoming.url ?? "", "http://localhost");
      const path = url.pathname.replace("/lagoonloom/", "");
      const response = await handle(path, { query: url.searchParams, body });
      outgoing.writeHead(response.status).end(
        Buffer.isBuffer(response.body)
          ? response.body
          : JSON.stringify(response.body),
      );
    });
  });
  await new Promise<void>((resolve) =>
    server.listen(0, "127.0.0.1", () => resolve())
  );
  const { port } = server.address() as AddressInfo;
  return {
    address: `127.0.0.1:${port}`,
    close: () =>
      new Promise((resolve) => {
        server.close(() => resolve());
        server.closeAllConnections();
      }),
  };
}

async function readBody(request: IncomingMessage): Promise<Buffer> {
  const chunks: Buffer[] = [];
  for await (const chunk of request) chunks.push(chunk as Buffer);
  return Buffer.concat(chunks);
}
