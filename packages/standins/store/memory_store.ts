/**
 * Implements the platform's store of partitioned topics in memory, for tests of
 * jobs.
 *
 * @module
 */

import type {
  AppendOutcome,
  KeyedRecord,
  Store,
  StoredRecord,
  TopicPartition,
} from "@lagoonloom/jobs";

/** Fault of the store that a test injects. */
export type StoreFault =
  /** Calls are refused with status 503. */
  | "refusing"
  /**
   * Calls have no effect and end without an answer at their timeout, and so do
   * reads that wait for a record.
   */
  | "silent"
  /** Appends take effect but get no answer. */
  | "losingAnswers";

/** Time without an answer after which the client gives up a call. */
const ANSWER_TIMEOUT_MS = 800;

/** Longest record, and total length of the records of one append. */
const MAX_RECORD_BYTES = 262_144;
const MAX_APPEND_BYTES = 2_097_152;

/** Bytes that a record takes beside its key and its value. */
const RECORD_HEADER_BYTES = 5;

/** Number of a writer's last appends that are recognised if repeated. */
const MAX_REMEMBERED_APPENDS = 5;

/** Records and writers of a partition of a topic. */
type PartitionState = {
  records: StoredRecord[];
  nextOffset: number;
  /** Oldest offset from which records can be read without a gap. */
  firstOffset: number;
  /** Epoch and last sequence numbers by writer. */
  writers: Map<string, { epoch: number; lastSequences: number[] }>;
};

/** Store in memory with faults that tests inject. */
export type MemoryStore = Store & {
  /** Fault that affects all calls; undefined if there is none. */
  fault: StoreFault | undefined;
  /** Number of calls so far by method. */
  calls: Record<string, number>;
  /** Appends a record without an epoch or condition, regardless of faults. */
  put(partition: TopicPartition, record: KeyedRecord): void;
  /**
   * Keeps only the newest record of each key; reads of earlier offsets meet a
   * gap then.
   */
  dropHistory(partition: TopicPartition): void;
  /** Assigns the partitions of all groups to other members at once. */
  reassignPartitions(): void;
  /** Returns the newest value by key, regardless of faults. */
  readNewestValues(partition: TopicPartition): Map<string, string>;
};

/** Consumer group. */
type Group = {
  generation: number;
  members: Map<string, { expiresAtMs: number }>;
  ownersByPartition: Map<number, string>;
  /** Offset of the round-robin assignment, so that tests can change it. */
  rotation: number;
};

/**
 * Creates an empty store that behaves as the documentation of the platform
 * requires: it fences writers, checks expected offsets, supports long polling,
 * and assigns the partitions of a group to the members whose TTL has not
 * expired.
 */
export function createMemoryStore(
  { partitions }: { partitions: number },
): MemoryStore {
  const partitionStates = new Map<string, PartitionState>();
  const groups = new Map<string, Group>();
  const readWaiters = new Set<() => void>();
  /** Marks a waiting read as one whose answer gets lost. */
  const readLosers = new Set<() => void>();
  let fault: StoreFault | undefined;

  const getPartitionState = (
    { topic, partition }: TopicPartition,
  ): PartitionState => {
    const key = `${topic}/${partition}`;
    let found = partitionStates.get(key);
    if (found === undefined) {
      found = {
        records: [],
        nextOffset: 0,
        firstOffset: 0,
        writers: new Map(),
      };
      partitionStates.set(key, found);
    }
    return found;
  };

  const appendRecords = (
    state: PartitionState,
    records: readonly KeyedRecord[],
  ) => {
    for (const record of records) {
      state.records.push({ ...record, offset: state.nextOffset++ });
    }
    for (const wake of readWaiters) wake();
  };

  const readNewestRecords = (state: PartitionState): StoredRecord[] => {
    const newest = new Map<string, StoredRecord>();
    for (const record of state.records) newest.set(record.key, record);
    return [...newest.values()].filter(({ value }) => value !== undefined);
  };

  const applyAppend = (
    partition: TopicPartition,
    options: Parameters<Store["append"]>[1],
  ): AppendOutcome => {
    const state = getPartitionState(partition);
    const { records, writer, expectedNextOffset } = options;
    if (isTooLong(records)) {
      return { type: "rejected", reason: "status 400" };
    }
    if (
      expectedNextOffset !== undefined &&
      expectedNextOffset !== state.nextOffset
    ) {
      return { type: "conflict" };
    }
    if (writer !== undefined) {
      const known = state.writers.get(writer.name);
      if (known !== undefined && writer.epoch < known.epoch) {
        return { type: "fenced" };
      }
      const isNewEpoch = known === undefined || writer.epoch > known.epoch;
      const lastSequences = known?.lastSequences ?? [];
      if (records.length === 0) {
        state.writers.set(writer.name, {
          epoch: writer.epoch,
          lastSequences,
        });
        return { type: "stored" };
      }
      if (!isNewEpoch && lastSequences.length > 0) {
        if (lastSequences.includes(writer.sequence)) return { type: "stored" };
        const expected = lastSequences.at(-1)! + 1;
        if (writer.sequence !== expected) {
          return { type: "outOfSequence", expected };
        }
      }
      state.writers.set(writer.name, {
        epoch: writer.epoch,
        lastSequences: [...lastSequences, writer.sequence].slice(
          -MAX_REMEMBERED_APPENDS,
        ),
      });
    }
    appendRecords(state, records);
    return { type: "stored" };
  };

  const assignPartitions = (group: Group) => {
    const names = [...group.members.keys()].sort();
    group.generation++;
    group.ownersByPartition.clear();
    if (names.length === 0) return;
    for (let partition = 0; partition < partitions; partition++) {
      const index = (partition + group.rotation) % names.length;
      group.ownersByPartition.set(partition, names[index]!);
    }
  };

  const expireMembers = (group: Group) => {
    const nowMs = performance.now();
    let isChanged = false;
    for (const [name, { expiresAtMs }] of group.members) {
      if (expiresAtMs > nowMs) continue;
      group.members.delete(name);
      isChanged = true;
    }
    if (isChanged) assignPartitions(group);
  };

  const getGroup = (name: string): Group => {
    let group = groups.get(name);
    if (group === undefined) {
      group = {
        generation: 0,
        members: new Map(),
        ownersByPartition: new Map(),
        rotation: 0,
      };
      groups.set(name, group);
    }
    expireMembers(group);
    return group;
  };

  const isUnavailable = () =>
    store.fault === "refusing" || store.fault === "silent";
  const delay = (ms: number) =>
    new Promise<void>((resolve) => setTimeout(resolve, ms));
  /** Waits for a call's timeout if the store is silent. */
  const awaitTimeout = async (timeoutMs: number) => {
    if (store.fault === "silent") await delay(timeoutMs);
  };
  const countCall = (method: string) => {
    store.calls[method] = (store.calls[method] ?? 0) + 1;
  };
  const failed = {
    type: "failed" as const,
    reason: "the store is unavailable",
  };

  const store: MemoryStore = {
    get fault() {
      return fault;
    },
    set fault(next) {
      fault = next;
      if (fault === "silent") { for (const lose of readLosers) lose(); }
    },
    calls: {},
    async append(partition, options) {
      countCall("append");
      if (store.fault === "silent") {
        await awaitTimeout(options.timeoutMs);
        return { type: "unknown", reason: "no answer" };
      }
      if (store.fault === "refusing") {
        return { type: "refused", reason: "status 503", retryAfterMs: 500 };
      }
      const outcome = applyAppend(partition, options);
      return store.fault === "losingAnswers"
        ? { type: "unknown", reason: "answer lost" }
        : outcome;
    },
    async read(partition, { from, waitMs }) {
      countCall("read");
      if (isUnavailable()) {
        await awaitTimeout(waitMs + ANSWER_TIMEOUT_MS);
        return failed;
      }
      const state = getPartitionState(partition);
      if (from < state.firstOffset) return { type: "gap" };
      if (state.nextOffset <= from && waitMs > 0) {
        const isLost = await new Promise<boolean>((resolve) => {
          let isLost = false;
          const lose = () => isLost = true;
          const wake = () => {
            if (state.nextOffset > from && !isLost) finish();
          };
          const finish = () => {
            clearTimeout(timer);
            readWaiters.delete(wake);
            readLosers.delete(lose);
            resolve(isLost);
          };
          const timer = setTimeout(finish, waitMs);
          readWaiters.add(wake);
          readLosers.add(lose);
        });
        if (isLost) await delay(ANSWER_TIMEOUT_MS);
        if (isLost || isUnavailable()) return failed;
      }
      const records = state.records.filter(({ offset }) => offset >= from);
      return { type: "read", records, nextOffset: state.nextOffset };
    },
    async readNewest(partition) {
      countCall("readNewest");
      if (isUnavailable()) {
        await awaitTimeout(ANSWER_TIMEOUT_MS);
        return failed;
      }
      const state = getPartitionState(partition);
      return {
        type: "read",
        records: readNewestRecords(state),
        nextOffset: state.nextOffset,
      };
    },
    async join({ group: name, member, ttlMs }) {
      countCall("join");
      if (isUnavailable()) {
        await awaitTimeout(ANSWER_TIMEOUT_MS);
        return failed;
      }
      const group = getGroup(name);
      const isNew = !group.members.has(member);
      group.members.set(member, { expiresAtMs: performance.now() + ttlMs });
      if (isNew) assignPartitions(group);
      const assigned = [...group.ownersByPartition].filter(([, owner]) =>
        owner === member
      );
      return {
        type: "joined",
        generation: group.generation,
        partitions: assigned.map(([partition]) => partition),
      };
    },
    leave({ group: name, member }) {
      const group = getGroup(name);
      if (!isUnavailable() && group.members.delete(member)) {
        assignPartitions(group);
      }
      return Promise.resolve();
    },
    async owners(name) {
      countCall("owners");
      if (isUnavailable()) {
        await awaitTimeout(ANSWER_TIMEOUT_MS);
        return undefined;
      }
      return new Map(getGroup(name).ownersByPartition);
    },
    put: (partition, record) =>
      appendRecords(getPartitionState(partition), [record]),
    dropHistory(partition) {
      const state = getPartitionState(partition);
      state.records = readNewestRecords(state);
      state.firstOffset = state.nextOffset;
    },
    reassignPartitions() {
      for (const group of groups.values()) {
        group.rotation++;
        assignPartitions(group);
      }
    },
    readNewestValues: (partition) =>
      new Map(
        readNewestRecords(getPartitionState(partition)).map((
          { key, value },
        ) => [key, value ?? ""]),
      ),
  };
  return store;
}

/** Returns whether the store takes an append neither now nor later. */
function isTooLong(records: readonly KeyedRecord[]): boolean {
  const lengths = records.map(({ key, value }) =>
    RECORD_HEADER_BYTES + Buffer.byteLength(key) +
    Buffer.byteLength(value ?? "")
  );
  return lengths.some((length) => length > MAX_RECORD_BYTES) ||
    lengths.reduce((sum, length) => sum + length, 0) > MAX_APPEND_BYTES;
}
