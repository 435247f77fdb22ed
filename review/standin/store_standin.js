// Stand-in of the platform's store: a log with partitioned topics, newest
// records by key, and consumer groups, as PROTOCOL.md describes them.

import { serve } from "./http_server.js";

const APPEND_MS = 2;
const ANSWER_MS = 2;
const PAGE_ITEMS = 500;
const MAX_RECORD_BYTES = 262_144;
const MAX_CALL_BYTES = 2_097_152;

const pause = (ms) => new Promise((resolve) => setTimeout(resolve, ms));

/** Splits the body of an append into records; undefined if it is malformed. */
function splitRecords(body) {
  const records = [];
  for (let at = 0; at < body.length;) {
    if (at + 4 > body.length) return undefined;
    const length = body.readUInt32BE(at);
    if (at + 4 + length > body.length) return undefined;
    records.push(body.subarray(at + 4, at + 4 + length));
    at += 4 + length;
  }
  return records;
}

/** Splits a keyed record into its key and its value. */
function splitKey(record) {
  const end = 1 + (record[0] ?? 0);
  return { key: record.subarray(1, end), value: record.subarray(end) };
}

/** Encodes a keyed record. */
export function keyedRecord(key, value) {
  const keyBytes = Buffer.from(key);
  return Buffer.concat([
    Buffer.from([keyBytes.length]),
    keyBytes,
    Buffer.from(value),
  ]);
}

/** Log of one partition of one topic. */
class Partition {
  records = [];
  newest = new Map();
  writers = new Map();
  waiting = new Set();
  queue = Promise.resolve();

  push(record) {
    const offset = this.records.length;
    this.records.push(record);
    const { key, value } = splitKey(record);
    const name = key.toString("latin1");
    if (value.length === 0) this.newest.delete(name);
    else this.newest.set(name, { key, value, offset });
    for (const wake of this.waiting) wake();
    return offset;
  }

  /** Applies an append; returns the answer. */
  append({ records, at, producer, epoch, seq }) {
    const end = this.records.length;
    if (at !== undefined && at !== end) return { status: 412, body: { end } };
    if (producer !== undefined) {
      const known = this.writers.get(producer);
      if (known !== undefined && epoch < known.epoch) {
        return { status: 409, body: { reason: "fenced" } };
      }
      const isNew = known === undefined || epoch > known.epoch;
      const state = isNew ? { epoch, last: undefined, answers: [] } : known;
      this.writers.set(producer, state);
      if (records.length === 0) return { status: 200, body: { end } };
      const repeat = state.answers.find((answer) => answer.seq === seq);
      if (repeat !== undefined) return repeat.answer;
      if (state.last !== undefined && seq !== state.last + 1) {
        return { status: 409, body: { reason: "seq", seq: state.last + 1 } };
      }
      const answer = this.store(records);
      state.last = seq;
      state.answers = [...state.answers, { seq, answer }].slice(-5);
      return answer;
    }
    return this.store(records);
  }

  store(records) {
    const offset = this.records.length;
    for (const record of records) this.push(record);
    return { status: 200, body: { offset, end: this.records.length } };
  }
}

/** Consumer group; a partition passes on once its holder has let go of it. */
class Group {
  generation = 0;
  members = new Map();
  holders = new Map();
  targets = new Map();

  constructor(parts) {
    this.parts = parts;
  }

  expire() {
    const nowMs = performance.now();
    let isChanged = false;
    for (const [name, { untilMs }] of this.members) {
      if (untilMs > nowMs) continue;
      this.remove(name);
      isChanged = true;
    }
    if (isChanged) this.deal();
  }

  remove(name) {
    this.members.delete(name);
    for (const [part, holder] of this.holders) {
      if (holder === name) this.holders.delete(part);
    }
  }

  deal() {
    this.generation++;
    const names = [...this.members.keys()];
    for (let part = 0; part < this.parts; part++) {
      if (names.length === 0) this.targets.delete(part);
      else this.targets.set(part, names[part % names.length]);
    }
  }

  join({ member, ttlMs, generation }) {
    this.expire();
    const known = this.members.get(member);
    const untilMs = performance.now() + ttlMs;
    this.members.set(member, { untilMs });
    if (known === undefined) this.deal();
    if (generation >= this.generation) {
      for (const [part, holder] of this.holders) {
        if (holder === member && this.targets.get(part) !== member) {
          this.holders.delete(part);
        }
      }
    }
    const parts = [];
    for (const [part, target] of this.targets) {
      if (target !== member) continue;
      const holder = this.holders.get(part);
      if (holder !== undefined && holder !== member) continue;
      this.holders.set(part, member);
      parts.push(part);
    }
    return { generation: this.generation, parts };
  }

  leave(member) {
    if (!this.members.has(member)) return;
    this.remove(member);
    this.deal();
  }
}

/**
 * Starts the store. `fault` is called for each append and may return `"lost"`
 * (done, but without an answer) or a number of milliseconds after which the
 * append is done, without an answer.
 */
export async function startStore({ host, parts, fault = () => undefined }) {
  const partitions = new Map();
  const groups = new Map();
  const statistics = { appends: 0, faults: 0 };

  const partitionOf = (topic, part) => {
    const key = `${topic}/${part}`;
    if (!partitions.has(key)) partitions.set(key, new Partition());
    return partitions.get(key);
  };
  const groupOf = (name) => {
    if (!groups.has(name)) groups.set(name, new Group(parts));
    return groups.get(name);
  };

  const append = async ({ query, body }) => {
    const records = splitRecords(body);
    if (records === undefined || body.length > MAX_CALL_BYTES) {
      return { status: 400, body: {} };
    }
    if (records.some(({ length }) => length > MAX_RECORD_BYTES)) {
      return { status: 400, body: {} };
    }
    const numberOf = (name) =>
      query.has(name) ? Number(query.get(name)) : undefined;
    const topic = query.get("topic");
    const partition = partitionOf(topic, numberOf("part"));
    const call = {
      records,
      at: numberOf("at"),
      producer: query.get("producer") ?? undefined,
      epoch: numberOf("epoch"),
      seq: numberOf("seq"),
    };
    statistics.appends++;
    const keys = records.map((it) => splitKey(it).key.toString("latin1"));
    const verdict = fault({ topic, part: numberOf("part"), keys });
    if (verdict !== undefined) statistics.faults++;
    if (typeof verdict === "number") {
      setTimeout(() => partition.append(call), verdict);
      return undefined;
    }
    const turn = partition.queue.then(() => pause(APPEND_MS));
    partition.queue = turn;
    await turn;
    const answer = partition.append(call);
    return verdict === "lost" ? undefined : answer;
  };

  const read = async ({ query }) => {
    const partition = partitionOf(
      query.get("topic"),
      Number(query.get("part")),
    );
    const from = Number(query.get("from"));
    const waitMs = Math.min(Number(query.get("waitMs") ?? 0), 30_000);
    if (from >= partition.records.length && waitMs > 0) {
      await new Promise((resolve) => {
        const finish = () => {
          clearTimeout(timer);
          partition.waiting.delete(finish);
          resolve();
        };
        const timer = setTimeout(finish, waitMs);
        partition.waiting.add(finish);
      });
    }
    const header = Buffer.alloc(16);
    header.writeBigUInt64BE(BigInt(partition.records.length), 0);
    const frames = partition.records.slice(from).map((record) => {
      const length = Buffer.alloc(4);
      length.writeUInt32BE(record.length);
      return Buffer.concat([length, record]);
    });
    return { status: 200, body: Buffer.concat([header, ...frames]) };
  };

  const readNewest = ({ query }) => {
    const partition = partitionOf(
      query.get("topic"),
      Number(query.get("part")),
    );
    const after = query.get("dependsOn");
    const all = [...partition.newest.values()]
      .map(({ key, value, offset }) => ({
        key: key.toString("utf8"),
        value: value.toString("base64"),
        offset,
      }))
      .sort((left, right) => left.key < right.key ? -1 : 1)
      .filter(({ key }) => after === null || key > after);
    return {
      status: 200,
      body: {
        items: all.slice(0, PAGE_ITEMS),
        hasMore: all.length > PAGE_ITEMS,
        end: partition.records.length,
      },
    };
  };

  const handle = async (call) => {
    const body = () => JSON.parse(call.body.toString());
    await pause(ANSWER_MS);
    switch (call.path) {
      case "/lagoonloom/log-append":
        return await append(call);
      case "/lagoonloom/log-read":
        return await read(call);
      case "/lagoonloom/log-newest":
        return readNewest(call);
      case "/lagoonloom/log-join": {
        const asked = body();
        const dealt = groupOf(asked.group).join(asked);
        const rows = dealt.parts.map((part) => [asked.topics[0], part, 0]);
        return {
          status: 200,
          body: { generation: dealt.generation, parts: rows },
        };
      }
      case "/lagoonloom/log-leave": {
        const asked = body();
        groupOf(asked.group).leave(asked.member);
        return { status: 200, body: {} };
      }
      case "/lagoonloom/log-owners": {
        const group = groupOf(call.query.get("group"));
        group.expire();
        const rows = [...group.holders].map(([part, member]) => [
          "keyed.jobs",
          part,
          member,
          0,
        ]);
        return { status: 200, body: { parts: rows } };
      }
      default:
        return { status: 404, body: {} };
    }
  };

  const server = await serve(host, handle);
  return {
    address: server.address,
    statistics,
    close: server.close,
    /** Writes a record of the operator or of an executor. */
    put(topic, key, value) {
      partitionOf(`keyed.${topic}`, 0).push(keyedRecord(key, value));
    },
    /** Returns the newest value of a key; undefined if there is none. */
    newest(topic, key, part = 0) {
      const found = partitionOf(`keyed.${topic}`, part).newest.get(key);
      return found?.value.toString("utf8");
    },
    /** Returns the holder of each partition of a group. */
    holders: (group) => new Map(groupOf(group).holders),
  };
}
