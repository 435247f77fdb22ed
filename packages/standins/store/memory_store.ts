import type {
  AppendOutcome,
  KeyedRecord,
  Store,
  StoredRecord,
  TopicPartition,
} from "@lagoonloom/jobs";

/** Fault of the store that a test sets. */
export type StoreFault =
  /** Calls are refused. */
  | "refusing"
  /** Calls get no answer and do nothing. */
  | "silent"
  /** Appends are carried out and not answered. */
  | "losingAnswers";

/** Appends of a writer whose repeats are recognized. */
const REMEMBERED_APPENDS = 5;

type Topic = {
  records: StoredRecord[];
  end: number;
  first: number;
  /** Epoch of each writer and the numbers of its last appends. */
  writers: Map<string, { epoch: number; last: number[] }>;
};

/** Store of the platform in memory, with the faults that tests set. */
export type MemoryStore = Store & {
  /** Fault that all calls meet; undefined if there is none. */
  fault: StoreFault | undefined;
  /** Number of calls so far, by kind. */
  calls: Record<string, number>;
  /** Appends as the operator or an executor does. */
  put(place: TopicPartition, record: KeyedRecord): void;
  /** Drops the history, but not the newest record of each key. */
  dropHistory(place: TopicPartition): void;
  /** Deals all partitions to the members in another way at once. */
  reassignPartitions(): void;
  newest(place: TopicPartition): Map<string, string>;
};

type Group = {
  generation: number;
  members: Map<string, { untilMs: number }>;
  dealt: Map<number, string>;
  shift: number;
};

/**
 * Creates a store that behaves as the platform's pages say: appends with
 * epochs and conditions, reads that wait, and a group whose partitions are
 * dealt to the members that stay in touch.
 */
export function createMemoryStore(
  { partitions }: { partitions: number },
): MemoryStore {
  const topics = new Map<string, Topic>();
  const groups = new Map<string, Group>();
  const waiting = new Set<() => void>();

  const topicOf = ({ topic, partition }: TopicPartition): Topic => {
    const key = `${topic}/${partition}`;
    let found = topics.get(key);
    if (found === undefined) {
      found = { records: [], end: 0, first: 0, writers: new Map() };
      topics.set(key, found);
    }
    return found;
  };

  const add = (topic: Topic, records: readonly KeyedRecord[]) => {
    for (const record of records) {
      topic.records.push({ ...record, offset: topic.end++ });
    }
    for (const wake of waiting) wake();
  };

  const newestOf = (topic: Topic): StoredRecord[] => {
    const newest = new Map<string, StoredRecord>();
    for (const record of topic.records) newest.set(record.key, record);
    return [...newest.values()].filter(({ value }) => value !== undefined);
  };

  const decide = (
    place: TopicPartition,
    options: Parameters<Store["append"]>[1],
  ): AppendOutcome => {
    const topic = topicOf(place);
    const { records, writer, expectedNextOffset: expectedEnd } = options;
    if (expectedEnd !== undefined && expectedEnd !== topic.end) {
      return { type: "conflict" };
    }
    if (writer !== undefined) {
      const known = topic.writers.get(writer.name);
      if (known !== undefined && writer.epoch < known.epoch) {
        return { type: "fenced" };
      }
      const isNewTerm = known === undefined || writer.epoch > known.epoch;
      const last = known?.last ?? [];
      if (records.length === 0) {
        topic.writers.set(writer.name, { epoch: writer.epoch, last });
        return { type: "stored" };
      }
      if (!isNewTerm && last.length > 0) {
        if (last.includes(writer.sequence)) return { type: "stored" };
        const expected = last.at(-1)! + 1;
        if (writer.sequence !== expected) {
          return { type: "outOfSequence", expected };
        }
      }
      topic.writers.set(writer.name, {
        epoch: writer.epoch,
        last: [...last, writer.sequence].slice(-REMEMBERED_APPENDS),
      });
    }
    add(topic, records);
    return { type: "stored" };
  };

  const deal = (group: Group) => {
    const names = [...group.members.keys()].sort();
    group.generation++;
    group.dealt.clear();
    if (names.length === 0) return;
    for (let partition = 0; partition < partitions; partition++) {
      const at = (partition + group.shift) % names.length;
      group.dealt.set(partition, names[at]!);
    }
  };

  const expireMembers = (group: Group) => {
    const nowMs = performance.now();
    let isChanged = false;
    for (const [name, { untilMs }] of group.members) {
      if (untilMs > nowMs) continue;
      group.members.delete(name);
      isChanged = true;
    }
    if (isChanged) deal(group);
  };

  const groupOf = (name: string): Group => {
    let group = groups.get(name);
    if (group === undefined) {
      group = { generation: 0, members: new Map(), dealt: new Map(), shift: 0 };
      groups.set(name, group);
    }
    expireMembers(group);
    return group;
  };

  const isAway = () => store.fault === "refusing" || store.fault === "silent";
  const count = (kind: string) => {
    store.calls[kind] = (store.calls[kind] ?? 0) + 1;
  };
  const failed = { type: "failed" as const, reason: "store is away" };

  const store: MemoryStore = {
    fault: undefined,
    calls: {},
    append(place, options) {
      count("append");
      if (store.fault === "silent") {
        return Promise.resolve({ type: "unknown", reason: "no answer" });
      }
      if (store.fault === "refusing") {
        return Promise.resolve({
          type: "refused",
          reason: "status 503",
          retryAfterMs: 500,
        });
      }
      const outcome = decide(place, options);
      return Promise.resolve(
        store.fault === "losingAnswers"
          ? { type: "unknown", reason: "answer lost" }
          : outcome,
      );
    },
    async read(place, { from, waitMs }) {
      count("read");
      if (isAway()) return failed;
      const topic = topicOf(place);
      if (from < topic.first) return { type: "gap" };
      if (topic.end <= from && waitMs > 0) {
        await new Promise<void>((resolve) => {
          const wake = () => {
            if (topic.end <= from) return;
            finish();
          };
          const finish = () => {
            clearTimeout(timer);
            waiting.delete(wake);
            resolve();
          };
          const timer = setTimeout(finish, waitMs);
          waiting.add(wake);
        });
      }
      if (isAway()) return failed;
      const records = topic.records.filter(({ offset }) => offset >= from);
      return { type: "read", records, nextOffset: topic.end };
    },
    readNewest(place) {
      count("readNewest");
      if (isAway()) return Promise.resolve(failed);
      const topic = topicOf(place);
      return Promise.resolve({
        type: "read",
        records: newestOf(topic),
        nextOffset: topic.end,
      });
    },
    join({ group: name, member, ttlMs }) {
      count("join");
      if (isAway()) return Promise.resolve(failed);
      const group = groupOf(name);
      const isNew = !group.members.has(member);
      group.members.set(member, { untilMs: performance.now() + ttlMs });
      if (isNew) deal(group);
      const own = [...group.dealt].filter(([, owner]) => owner === member);
      return Promise.resolve({
        type: "joined",
        generation: group.generation,
        partitions: own.map(([partition]) => partition),
      });
    },
    leave({ group: name, member }) {
      const group = groupOf(name);
      if (!isAway() && group.members.delete(member)) deal(group);
      return Promise.resolve();
    },
    owners(name) {
      count("owners");
      if (isAway()) return Promise.resolve(undefined);
      return Promise.resolve(new Map(groupOf(name).dealt));
    },
    put: (place, record) => add(topicOf(place), [record]),
    dropHistory(place) {
      const topic = topicOf(place);
      topic.records = newestOf(topic);
      topic.first = topic.end;
    },
    reassignPartitions() {
      for (const group of groups.values()) {
        group.shift++;
        deal(group);
      }
    },
    newest: (place) =>
      new Map(
        newestOf(topicOf(place)).map(({ key, value }) => [key, value ?? ""]),
      ),
  };
  return store;
}
