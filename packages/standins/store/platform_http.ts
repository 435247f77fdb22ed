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

const KEYED = "keyed.";

/** Listener that speaks as the users' platform does. */
export type PlatformServer = { address: string; close(): Promise<void> };

type Answer = { status: number; body: Buffer | object };

type Question = { query: URLSearchParams; body: Buffer };

/** Starts the users' store on loopback. */
export function serveMemoryStore(store: MemoryStore): Promise<PlatformServer> {
  return serve(async (path, question) => {
    switch (path) {
      case "log-append":
        return await append(store, question);
      case "log-read":
        return await read(store, question);
      case "log-newest":
        return await newest(store, question);
      case "log-join":
        return await join(store, question);
      case "log-leave": {
        const { group, member } = JSON.parse(question.body.toString());
        await store.leave({ group, member });
        return { status: 200, body: {} };
      }
      case "log-owners": {
        const owners = await store.owners(question.query.get("group") ?? "");
        const parts = [...owners ?? []].map(([partition, member]) => [
          `${KEYED}jobs`,
          partition,
          member,
          0,
        ]);
        return { status: owners === undefined ? 503 : 200, body: { parts } };
      }
      default:
        return { status: 404, body: {} };
    }
  });
}

/** Starts an executor on loopback; the address goes into its report. */
export function serveMemoryExecutor(
  executors: MemoryExecutors,
  id: string,
): Promise<PlatformServer> {
  const target = { id, address: "" };
  return serve(async (path, { body }) => {
    const order = JSON.parse(body.toString());
    const { task, run, fencingToken: token } = order;
    switch (path) {
      case "run-start":
        return answerStart(
          await executors.start(target, {
            task,
            run,
            fencingToken: token,
            spec: order.spec,
            leaseExpiryMs: order.untilMs,
            checkpoint: order.checkpoint ?? "",
            ticket: order.ticket ?? "",
          }),
        );
      case "run-stop": {
        const outcome = await executors.stop(target, {
          task,
          run,
          fencingToken: token,
        });
        return { status: outcome.type === "done" ? 200 : 409, body: {} };
      }
      case "hold":
        return answerHold(
          await executors.poll(target, {
            ...(order.untilMs === undefined
              ? {}
              : { leaseExpiryMs: order.untilMs }),
            fencingToken: token,
            acknowledgedSequence: order.lastSeen,
            waitMs: order.waitMs ?? 0,
          }),
        );
      default:
        return { status: 404, body: {} };
    }
  });
}

function answerStart(
  outcome: Awaited<ReturnType<ExecutorClient["start"]>>,
): Answer {
  if (outcome.type === "started") {
    return { status: 200, body: { clockMs: outcome.clockMs } };
  }
  const reason = outcome.type === "refused" ? outcome.reason : "fence";
  return { status: 409, body: { reason } };
}

function answerHold(
  outcome: Awaited<ReturnType<ExecutorClient["poll"]>>,
): Answer {
  if (outcome.type !== "polled") {
    return { status: 409, body: { reason: "fence" } };
  }
  const row = (
    { task, run, checkpoint, progressPercent: percent, load }: RunReport,
  ) => [
    task,
    run,
    checkpoint,
    percent,
    load,
  ];
  const endRow = (
    { sequence: number, task, run, result: how, checkpoint }: RunEnd,
  ) => [
    number,
    task,
    run,
    how,
    checkpoint,
  ];
  return {
    status: 200,
    body: {
      clockMs: outcome.clockMs,
      born: outcome.startedAtMs,
      running: outcome.running.map(row),
      finished: outcome.ended.map(endRow),
    },
  };
}

async function append(
  store: MemoryStore,
  { query, body }: Question,
): Promise<Answer> {
  const records = parseFrames(body);
  const epoch = query.get("epoch");
  const expectedEnd = query.get("at");
  const outcome = await store.append(placeOf(query), {
    records,
    timeoutMs: 0,
    ...(expectedEnd === null
      ? {}
      : { expectedNextOffset: Number(expectedEnd) }),
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

async function read(
  store: MemoryStore,
  { query }: Question,
): Promise<Answer> {
  const outcome = await store.read(placeOf(query), {
    from: Number(query.get("from")),
    waitMs: Number(query.get("waitMs") ?? 0),
  });
  if (outcome.type === "failed") return { status: 503, body: {} };
  if (outcome.type === "gap") return { status: 410, body: { first: 0 } };
  const head = Buffer.alloc(16);
  head.writeBigUInt64BE(BigInt(outcome.nextOffset), 0);
  return {
    status: 200,
    body: Buffer.concat([head, ...outcome.records.map(frameOf)]),
  };
}

async function newest(
  store: MemoryStore,
  { query }: Question,
): Promise<Answer> {
  const outcome = await store.readNewest(placeOf(query));
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

async function join(store: MemoryStore, { body }: Question): Promise<Answer> {
  const { group, member, topics, ttlMs, generation } = JSON.parse(
    body.toString(),
  );
  const [topic] = topics;
  const outcome = await store.join({ group, member, topic, ttlMs, generation });
  if (outcome.type === "failed") return { status: 503, body: {} };
  const parts = outcome.partitions.map((partition) => [topic, partition, 0]);
  return { status: 200, body: { generation: outcome.generation, parts } };
}

function placeOf(query: URLSearchParams): TopicPartition {
  const topic = query.get("topic") ?? "";
  return {
    topic: topic.startsWith(KEYED) ? topic.slice(KEYED.length) : topic,
    partition: Number(query.get("part")),
  };
}

function frameOf({ key, value }: KeyedRecord): Buffer {
  const content = Buffer.concat([
    Buffer.from([Buffer.byteLength(key)]),
    Buffer.from(key),
    Buffer.from(value ?? ""),
  ]);
  const length = Buffer.alloc(4);
  length.writeUInt32BE(content.length);
  return Buffer.concat([length, content]);
}

function parseFrames(body: Buffer): KeyedRecord[] {
  const records: KeyedRecord[] = [];
  for (let at = 0; at < body.length;) {
    const length = body.readUInt32BE(at);
    const content = body.subarray(at + 4, at + 4 + length);
    const keyEnd = 1 + content[0]!;
    const value = content.toString("utf8", keyEnd);
    records.push({
      key: content.toString("utf8", 1, keyEnd),
      value: value === "" ? undefined : value,
    });
    at += 4 + length;
  }
  return records;
}

async function serve(
  answer: (path: string, question: Question) => Promise<Answer>,
): Promise<PlatformServer> {
  const server = createServer((request, response) => {
    void readAll(request).then(async (body) => {
      const url = new URL(request.url ?? "", "http://localhost");
      const path = url.pathname.replace("/lagoonloom/", "");
      const found = await answer(path, { query: url.searchParams, body });
      response.writeHead(found.status).end(
        Buffer.isBuffer(found.body) ? found.body : JSON.stringify(found.body),
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

async function readAll(request: IncomingMessage): Promise<Buffer> {
  const chunks: Buffer[] = [];
  for await (const chunk of request) chunks.push(chunk as Buffer);
  return Buffer.concat(chunks);
}
