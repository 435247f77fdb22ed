// Stand-in of the platform's log store, after the users' page on its protocol.
import { startHttp } from "./http.mjs";

const PREFIX = "keyed.";

/** Starts a store. `parts` is the number of partitions of each topic. */
export async function startStore(
  { address, parts, appendMs = 2, log, disturb },
) {
  const partitions = new Map();
  const groups = new Map();
  const nowMs = () => performance.now();

  const partitionOf = (topic, part) => {
    const key = `${topic}/${part}`;
    let found = partitions.get(key);
    if (found === undefined) {
      found = {
        records: [],
        producers: new Map(),
        busyUntilMs: 0,
        waiters: new Set(),
      };
      partitions.set(key, found);
    }
    return found;
  };

  const push = (partition, records) => {
    const offset = partition.records.length;
    partition.records.push(...records);
    for (const wake of [...partition.waiters]) wake();
    return { offset, end: partition.records.length };
  };

  /** Writes a record of the operator or of an executor. */
  const write = (topic, key, value) => {
    const text = value === undefined ? "" : JSON.stringify(value);
    return push(partitionOf(PREFIX + topic, 0), [frameOf(key, text)]);
  };

  const append = async (query, body) => {
    const topic = query.get("topic");
    if (topic === "keyed.op" || topic === "keyed.servers") return [403, {}];
    const partition = partitionOf(topic, query.get("part"));
    const startMs = Math.max(nowMs(), partition.busyUntilMs);
    partition.busyUntilMs = startMs + appendMs;
    await sleepMs(startMs + appendMs - nowMs());
    const end = partition.records.length;
    const at = query.get("at");
    if (at !== null && Number(at) !== end) return [412, { end }];
    const name = query.get("producer");
    if (name === null) return [200, push(partition, parseFrames(body))];
    const epoch = Number(query.get("epoch"));
    let producer = partition.producers.get(name);
    if (producer !== undefined && epoch < producer.epoch) {
      return [409, { reason: "fenced" }];
    }
    if (producer === undefined || epoch > producer.epoch) {
      producer = { epoch, next: undefined, last: [] };
      partition.producers.set(name, producer);
    }
    if (body.length === 0) return [200, { offset: end, end }];
    const seq = Number(query.get("seq"));
    const repeated = producer.last.find((entry) => entry.seq === seq);
    if (repeated !== undefined) return [200, repeated.reply];
    if (producer.next !== undefined && seq !== producer.next) {
      return [409, { reason: "seq", seq: producer.next }];
    }
    const reply = push(partition, parseFrames(body));
    producer.next = seq + 1;
    producer.last = [...producer.last, { seq, reply }].slice(-5);
    return [200, reply];
  };

  const read = async (query) => {
    const partition = partitionOf(query.get("topic"), query.get("part"));
    const from = Number(query.get("from"));
    const waitMs = Number(query.get("waitMs") ?? 0);
    if (partition.records.length <= from && waitMs > 0) {
      await new Promise((resolve) => {
        const done = () => {
          clearTimeout(timer);
          partition.waiters.delete(done);
          resolve();
        };
        const timer = setTimeout(done, waitMs);
        partition.waiters.add(done);
      });
    }
    const head = Buffer.alloc(16);
    head.writeBigUInt64BE(BigInt(partition.records.length), 0);
    const chunks = [head];
    let bytes = 0;
    for (const frame of partition.records.slice(from)) {
      bytes += frame.length + 4;
      if (bytes > 1024 * Number(query.get("maxKb") ?? 1024)) break;
      const length = Buffer.alloc(4);
      length.writeUInt32BE(frame.length);
      chunks.push(length, frame);
    }
    return [200, Buffer.concat(chunks)];
  };

  const newest = (query) => {
    const partition = partitionOf(query.get("topic"), query.get("part"));
    const byKey = new Map();
    partition.records.forEach((frame, offset) => {
      const { key, value } = keyedOf(frame);
      if (value.length === 0) byKey.delete(key);
      else byKey.set(key, { key, value: value.toString("base64"), offset });
    });
    const after = query.get("dependsOn") ?? "";
    const items = [...byKey.values()].filter(({ key }) => key > after)
      .sort((a, b) => a.key < b.key ? -1 : 1);
    return [200, {
      items: items.slice(0, 500),
      hasMore: items.length > 500,
      end: partition.records.length,
    }];
  };

  const groupOf = (name) => {
    let group = groups.get(name);
    if (group === undefined) {
      group = {
        generation: 0,
        members: new Map(),
        holder: new Map(),
        target: new Map(),
        since: new Map(),
        topic: "",
      };
      groups.set(name, group);
    }
    return group;
  };

  /** Deals the partitions evenly; those that stay keep their holder. */
  const deal = (group) => {
    group.generation++;
    const names = [...group.members.keys()].sort();
    const load = new Map(names.map((name) => [name, 0]));
    const most = Math.ceil(parts / Math.max(1, names.length));
    const free = [];
    for (let part = 0; part < parts; part++) {
      const name = group.target.get(part);
      if (name !== undefined && load.has(name) && load.get(name) < most) {
        load.set(name, load.get(name) + 1);
      } else free.push(part);
    }
    for (const part of free) {
      const name = names.sort((a, b) => load.get(a) - load.get(b))[0];
      group.since.set(part, group.generation);
      if (name === undefined) group.target.delete(part);
      else {
        group.target.set(part, name);
        load.set(name, load.get(name) + 1);
      }
      if (group.holder.get(part) === undefined && name !== undefined) {
        group.holder.set(part, name);
      }
    }
  };

  const dropMember = (group, name) => {
    if (!group.members.delete(name)) return;
    for (const [part, holder] of group.holder) {
      if (holder === name) group.holder.delete(part);
    }
    for (const [part, target] of group.target) {
      if (target === name) group.target.delete(part);
    }
    deal(group);
    for (const [part, target] of group.target) {
      if (!group.holder.has(part)) group.holder.set(part, target);
    }
  };

  const expire = () => {
    for (const group of groups.values()) {
      for (const [name, member] of [...group.members]) {
        if (nowMs() - member.joinedAtMs <= member.ttlMs) continue;
        log?.(`store: the membership of ${name} has run out`);
        dropMember(group, name);
      }
    }
  };
  const timer = setInterval(expire, 50);

  const join = ({ group: groupName, member, topics, ttlMs, generation }) => {
    expire();
    const group = groupOf(groupName);
    group.topic = topics[0];
    const isNew = !group.members.has(member);
    group.members.set(member, { ttlMs, joinedAtMs: nowMs() });
    if (isNew) deal(group);
    else {
      for (const [part, holder] of group.holder) {
        const target = group.target.get(part);
        if (holder !== member || target === member) continue;
        if (generation >= group.since.get(part)) group.holder.set(part, target);
      }
    }
    const rows = [...group.holder].filter(([part, holder]) =>
      holder === member && group.target.get(part) === member
    ).map(([part]) => [group.topic, part, 0]);
    return [200, { generation: group.generation, parts: rows }];
  };

  const handle = async ({ path, query, body }) => {
    const json = () => JSON.parse(body.toString());
    if (path === "log-append") return await append(query, body);
    if (path === "log-read") return await read(query);
    if (path === "log-newest") return newest(query);
    if (path === "log-join") return join(json());
    if (path === "log-commit") return [200, {}];
    if (path === "log-leave") {
      const { group, member } = json();
      dropMember(groupOf(group), member);
      return [200, {}];
    }
    if (path === "log-owners") {
      expire();
      const group = groupOf(query.get("group"));
      const rows = [...group.holder].map((
        [part, name],
      ) => [group.topic, part, name, 0]);
      return [200, { parts: rows }];
    }
    return [404, {}];
  };

  const server = await startHttp(address, handle, disturb);
  return {
    address: server.address,
    write,
    /** Returns the newest value of a key in partition 0 of a topic. */
    newestOf(topic, key) {
      const items =
        newest(new URLSearchParams({ topic: PREFIX + topic, part: "0" }))[1]
          .items;
      const item = items.find((entry) => entry.key === key);
      return item && JSON.parse(Buffer.from(item.value, "base64").toString());
    },
    /** Deals all partitions anew at once, as the platform does at times. */
    rebalance() {
      const group = groupOf("owners");
      const names = [...group.members.keys()];
      if (names.length === 0) return;
      group.generation++;
      const shift = 1 + Math.floor(Math.random() * names.length);
      for (const part of [...group.target.keys()]) {
        const name = names[(part + shift) % names.length];
        if (group.target.get(part) === name) continue;
        group.target.set(part, name);
        group.since.set(part, group.generation);
      }
    },
    /** Returns the member that holds a partition of the group. */
    holderOf: (part) => groupOf("owners").holder.get(part),
    close() {
      clearInterval(timer);
      server.close();
    },
  };
}

function frameOf(key, text) {
  const keyBytes = Buffer.from(key);
  return Buffer.concat([
    Buffer.from([keyBytes.length]),
    keyBytes,
    Buffer.from(text),
  ]);
}

function keyedOf(frame) {
  const end = 1 + frame[0];
  return { key: frame.toString("utf8", 1, end), value: frame.subarray(end) };
}

function parseFrames(body) {
  const frames = [];
  for (let at = 0; at < body.length;) {
    const length = body.readUInt32BE(at);
    frames.push(Buffer.from(body.subarray(at + 4, at + 4 + length)));
    at += 4 + length;
  }
  return frames;
}

function sleepMs(ms) {
  return new Promise((resolve) => setTimeout(resolve, Math.max(0, ms)));
}
