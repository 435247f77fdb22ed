// Stand-in of the platform's store: the log of partitioned topics over HTTP,
// as PROTOCOL.md describes it. Each member calls it through a gate of its own,
// which a test can close, so that the store turns that member away.
import { createServer } from "node:http";

const KEYED = "keyed.";
const REMEMBERED_APPENDS = 5;
const PAGE_ITEMS = 500;
const APPEND_MS = 2;

const sleep = (ms) => new Promise((resolve) => setTimeout(resolve, ms));

function frame({ key, value }) {
  const keyBytes = Buffer.from(key);
  const content = Buffer.concat([
    Buffer.from([keyBytes.length]),
    keyBytes,
    value ?? Buffer.alloc(0),
  ]);
  const length = Buffer.alloc(4);
  length.writeUInt32BE(content.length);
  return Buffer.concat([length, content]);
}

function parseFrames(body) {
  const records = [];
  for (let at = 0; at < body.length;) {
    const length = body.readUInt32BE(at);
    const content = body.subarray(at + 4, at + 4 + length);
    const keyEnd = 1 + content[0];
    const value = content.subarray(keyEnd);
    records.push({
      key: content.toString("utf8", 1, keyEnd),
      value: value.length === 0 ? undefined : Buffer.from(value),
    });
    at += 4 + length;
  }
  return records;
}

/** Creates the store. `parts` is the number of partitions of each topic. */
export function createStore({ parts }) {
  const partitions = new Map();
  const groups = new Map();
  const servers = [];
  const waiters = new Set();
  /** Decides what becomes of an append: undefined, or `{ lateMs }`. */
  let onAppend = () => undefined;

  const partitionOf = (topic, part) => {
    const name = `${topic}/${part}`;
    let state = partitions.get(name);
    if (state === undefined) {
      state = { records: [], end: 0, producers: new Map(), tail: sleep(0) };
      partitions.set(name, state);
    }
    return state;
  };

  const store = (state, records) => {
    for (const record of records) {
      state.records.push({ ...record, offset: state.end++ });
    }
    for (const wake of [...waiters]) wake();
  };

  const append = (query, body) => {
    const state = partitionOf(query.get("topic"), query.get("part"));
    const records = parseFrames(body);
    const at = query.get("at");
    if (at !== null && Number(at) !== state.end) {
      return { status: 412, json: { end: state.end } };
    }
    const name = query.get("producer");
    const seq = Number(query.get("seq") ?? 0);
    let producer;
    if (name !== null) {
      const epoch = Number(query.get("epoch"));
      producer = state.producers.get(name);
      if (producer !== undefined && epoch < producer.epoch) {
        return { status: 409, json: { reason: "fenced" } };
      }
      if (producer === undefined || epoch > producer.epoch) {
        producer = { epoch, next: undefined, answers: new Map() };
        state.producers.set(name, producer);
      }
      if (records.length > 0 && producer.next !== undefined) {
        const known = producer.answers.get(seq);
        if (known !== undefined) return known;
        if (seq !== producer.next) {
          return { status: 409, json: { reason: "seq", seq: producer.next } };
        }
      }
    }
    const offset = state.end;
    store(state, records);
    const answer = { status: 200, json: { offset, end: state.end } };
    if (producer !== undefined && records.length > 0) {
      producer.next = seq + 1;
      producer.answers.set(seq, answer);
      producer.answers.delete(seq - REMEMBERED_APPENDS);
    }
    return answer;
  };

  const newest = (topic, part) => {
    const byKey = new Map();
    for (const record of partitionOf(topic, part).records) {
      if (record.value === undefined) byKey.delete(record.key);
      else byKey.set(record.key, record);
    }
    return byKey;
  };

  const readNewest = (query) => {
    const topic = query.get("topic");
    const part = query.get("part");
    const after = query.get("dependsOn");
    const sorted = [...newest(topic, part).values()]
      .sort((a, b) => (a.key < b.key ? -1 : 1))
      .filter(({ key }) => after === null || key > after);
    const items = sorted.slice(0, PAGE_ITEMS).map(({ key, value, offset }) => ({
      key,
      value: value.toString("base64"),
      offset,
    }));
    const hasMore = sorted.length > PAGE_ITEMS;
    return {
      status: 200,
      json: { items, hasMore, end: partitionOf(topic, part).end },
    };
  };

  const read = async (query, isOpen) => {
    const state = partitionOf(query.get("topic"), query.get("part"));
    const from = Number(query.get("from"));
    const untilMs = performance.now() + Number(query.get("waitMs") ?? 0);
    while (state.end <= from && isOpen()) {
      const leftMs = untilMs - performance.now();
      if (leftMs <= 0) break;
      await new Promise((resolve) => {
        const finish = () => {
          clearTimeout(timer);
          waiters.delete(finish);
          resolve();
        };
        const timer = setTimeout(finish, leftMs);
        waiters.add(finish);
      });
    }
    const header = Buffer.alloc(16);
    header.writeBigUInt64BE(BigInt(state.end), 0);
    header.writeBigUInt64BE(0n, 8);
    const records = state.records.slice(from);
    return {
      status: 200,
      raw: Buffer.concat([header, ...records.map(frame)]),
    };
  };

  const groupOf = (name) => {
    let group = groups.get(name);
    if (group === undefined) {
      group = { generation: 0, members: new Map(), target: [], held: [] };
      groups.set(name, group);
    }
    return group;
  };

  /** Deals the partitions evenly, with as few changes as possible. */
  const deal = (group) => {
    group.generation++;
    const names = [...group.members.keys()];
    const load = new Map(names.map((name) => [name, 0]));
    const most = Math.ceil(parts / Math.max(1, names.length));
    for (let part = 0; part < parts; part++) {
      const name = group.target[part];
      const keeps = load.has(name) && load.get(name) < most;
      if (keeps) load.set(name, load.get(name) + 1);
      else group.target[part] = undefined;
    }
    for (let part = 0; part < parts; part++) {
      if (group.target[part] !== undefined || names.length === 0) continue;
      const name = names.reduce((a, b) => load.get(b) < load.get(a) ? b : a);
      group.target[part] = name;
      load.set(name, load.get(name) + 1);
    }
    settle(group);
  };

  const settle = (group) => {
    for (let part = 0; part < parts; part++) {
      if (!group.members.has(group.held[part])) {
        group.held[part] = group.target[part];
      }
    }
  };

  const expire = (group) => {
    const nowMs = performance.now();
    let hasChanged = false;
    for (const [name, { untilMs }] of group.members) {
      if (untilMs > nowMs) continue;
      group.members.delete(name);
      hasChanged = true;
    }
    if (hasChanged) deal(group);
  };
  const timer = setInterval(() => {
    for (const group of groups.values()) expire(group);
  }, 20);

  const join = ({ group: name, member, topics, ttlMs, generation }) => {
    const group = groupOf(name);
    group.topic = topics[0];
    const isNew = !group.members.has(member);
    group.members.set(member, { untilMs: performance.now() + ttlMs });
    if (isNew) deal(group);
    if (generation >= group.generation) {
      for (let part = 0; part < parts; part++) {
        const isGiven = group.held[part] === member &&
          group.target[part] !== member;
        if (isGiven) group.held[part] = group.target[part];
      }
    }
    const rows = [];
    for (let part = 0; part < parts; part++) {
      const isOwn = group.held[part] === member &&
        group.target[part] === member;
      if (isOwn) rows.push([group.topic, part, 0]);
    }
    return { status: 200, json: { generation: group.generation, parts: rows } };
  };

  const leave = ({ group: name, member }) => {
    const group = groupOf(name);
    if (group.members.delete(member)) deal(group);
    return { status: 200, json: {} };
  };

  const owners = (query) => {
    const group = groupOf(query.get("group"));
    const rows = [];
    for (let part = 0; part < parts; part++) {
      rows.push([group.topic ?? "", part, group.held[part] ?? "", 0]);
    }
    return { status: 200, json: { parts: rows } };
  };

  const handle = async (path, query, body, isOpen) => {
    switch (path) {
      case "/lagoonloom/log-append": {
        const state = partitionOf(query.get("topic"), query.get("part"));
        const done = state.tail.then(() => sleep(APPEND_MS));
        state.tail = done;
        await done;
        return append(query, body);
      }
      case "/lagoonloom/log-read":
        return await read(query, isOpen);
      case "/lagoonloom/log-newest":
        return readNewest(query);
      case "/lagoonloom/log-join":
        return join(JSON.parse(body.toString()));
      case "/lagoonloom/log-leave":
        return leave(JSON.parse(body.toString()));
      case "/lagoonloom/log-owners":
        return owners(query);
      default:
        return { status: 404, json: {} };
    }
  };

  /**
   * Opens a port for one member. While `gate.turnsAway` is set, each call there
   * gets 503 and nothing is done, also calls that wait already.
   */
  const openGate = async (name) => {
    const gate = { name, turnsAway: false, address: "", calls: 0 };
    const server = createServer(async (request, response) => {
      const chunks = [];
      for await (const chunk of request) chunks.push(chunk);
      const body = Buffer.concat(chunks);
      const url = new URL(request.url, "http://store");
      gate.calls++;
      const refuse = () => response.writeHead(503).end("{}");
      if (gate.turnsAway) return refuse();
      const isAppend = url.pathname === "/lagoonloom/log-append";
      const fate = isAppend
        ? onAppend(name, url.searchParams, parseFrames(body))
        : undefined;
      if (fate !== undefined) {
        // Carried out later; the channel returns nothing further.
        setTimeout(() => {
          const answer = append(url.searchParams, body);
          fate.onDone?.(answer);
        }, fate.lateMs);
        return;
      }
      const isOpen = () => !gate.turnsAway;
      const answer = await handle(
        url.pathname,
        url.searchParams,
        body,
        isOpen,
      );
      if (gate.turnsAway) return refuse();
      if (answer.raw !== undefined) {
        response.writeHead(answer.status).end(answer.raw);
        return;
      }
      response.writeHead(answer.status, { "content-type": "application/json" })
        .end(JSON.stringify(answer.json));
    });
    await new Promise((resolve) => server.listen(0, "127.0.0.1", resolve));
    servers.push(server);
    gate.address = `127.0.0.1:${server.address().port}`;
    gate.turnAway = (isOn) => {
      gate.turnsAway = isOn;
      for (const wake of [...waiters]) wake();
    };
    return gate;
  };

  return {
    openGate,
    /** Writes a record as the operator or an executor does. */
    put(topic, key, value) {
      const state = partitionOf(KEYED + topic, 0);
      const bytes = value === undefined
        ? undefined
        : Buffer.from(JSON.stringify(value));
      store(state, [{ key, value: bytes }]);
    },
    newestValues(topic, part) {
      const values = new Map();
      for (const [key, { value }] of newest(KEYED + topic, String(part))) {
        values.set(key, JSON.parse(value.toString()));
      }
      return values;
    },
    /** Member that holds a partition of the group `owners`. */
    holderOf: (part) => groups.get("owners")?.held[part],
    setOnAppend(hook) {
      onAppend = hook;
    },
    async close() {
      clearInterval(timer);
      for (const server of servers) {
        server.closeAllConnections();
        await new Promise((resolve) => server.close(resolve));
      }
    },
  };
}
