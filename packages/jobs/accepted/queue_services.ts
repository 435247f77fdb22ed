/**
 * Remembers where the ids of each queue's jobs are kept, and for which services
 * the queue has accepted jobs.
 *
 * @module
 */

import { createHash } from "node:crypto";
import { z } from "zod";
import { parseJson } from "../_parse_json.ts";
import { shareCalls } from "../_share_calls.ts";
import type { Queue } from "../fleet.ts";
import type { JobEventLog } from "../job_event_log.ts";
import { followTopic } from "../owned/follow_topic.ts";
import type { KeyedRecord, Store, TopicPartition } from "../ports.ts";
import type { RecordOutcome } from "./accept_job.ts";

/** Partition that stores the services of all queues. */
export const QUEUES_PARTITION: TopicPartition = {
  topic: "queues",
  partition: 0,
};

/** Longest time for which a read waits for a record of another member. */
const READ_WAIT_MS = 5_000;

/** Longest wait for the store's answer to one append. */
const APPEND_TIMEOUT_MS = 700;

/** Retry delay for callers while the home of their queue is not known. */
const RETRY_AFTER_MS = 500;

/** Attempts to store a home, which any other record of the topic delays. */
const MAX_HOME_ATTEMPTS = 10;

/** Start of the keys of the records that a queue has its home at a service. */
const HOME_PREFIX = "home.";

/** Schema of the record that a queue had a service. */
const QueueService = z.object({
  host: z.string(),
  pathPrefix: z.string(),
  service: z.string(),
});

/** Service that a queue had, which callers know by its host and prefix. */
type QueueService = z.infer<typeof QueueService>;

/**
 * Homes of queues and services that they have had. The home of a queue is the
 * service in whose partition the ids of all its jobs are kept. It never changes
 * once it is stored, while a configuration may send the queue to another
 * service. So all members look up, store and cancel an id in the same place,
 * however old their configurations are.
 */
export type QueueServices = {
  /** Whether the stored services have been read. */
  isComplete(): boolean;
  /** Service at which a queue has its home; undefined if none is known. */
  homeOf(queue: Queue): string | undefined;
  /** Services of a queue: the present one, then the others that it has had. */
  servicesOf(queue: Queue): string[];
  /**
   * Makes sure that the home of a queue is known: its present service, unless
   * another one is stored. Jobs can be neither accepted nor cancelled without
   * it. Also stores that the queue has its present service, without waiting.
   */
  record(queue: Queue): Promise<RecordOutcome>;
  /**
   * Reads what other members have stored before this call.
   *
   * @returns whether the store answered
   */
  refresh(): Promise<boolean>;
  close(): void;
};

/** Options of {@linkcode createQueueServices}. */
export type QueueServicesOptions = { store: Store; events: JobEventLog };

/**
 * Starts to follow the services of all queues.
 *
 * @example
 * ```ts
 * const queueServices = createQueueServices({ store, events });
 * const services = queueServices.servicesOf(queue);
 * ```
 */
export function createQueueServices(
  { store, events }: QueueServicesOptions,
): QueueServices {
  /** Known services by queue, which are never removed. */
  const services = new Map<string, Set<string>>();
  /** Known homes by queue, which never change. */
  const homes = new Map<string, string>();
  /** Homes that are being stored, by queue. */
  const homeRecordings = new Map<string, Promise<RecordOutcome>>();
  /** Keys of the services that are being stored. */
  const serviceRecordings = new Set<string>();

  const applyRecords = (records: readonly KeyedRecord[]) => {
    for (const { key, value } of records) {
      const decoded = decodeQueueService(value);
      if (decoded === undefined) {
        events.log("recordUnreadable", {
          partition: QUEUES_PARTITION.partition,
          key,
        });
        continue;
      }
      const known = services.get(queueKey(decoded)) ?? new Set();
      services.set(queueKey(decoded), known.add(decoded.service));
      if (key.startsWith(HOME_PREFIX)) {
        homes.set(queueKey(decoded), decoded.service);
      }
    }
  };

  const follower = followTopic(store, QUEUES_PARTITION, {
    waitMs: READ_WAIT_MS,
    pauseMs: 0,
    onRecords: applyRecords,
    onFailure: (reason) =>
      events.log("platformSilent", { topic: QUEUES_PARTITION.topic, reason }),
  });

  /** Reads all records; returns the next offset, or undefined on a failure. */
  const readAll = shareCalls(async (): Promise<number | undefined> => {
    const newest = await store.readNewest(QUEUES_PARTITION);
    if (newest.type !== "read") return undefined;
    applyRecords(newest.records);
    return newest.nextOffset;
  });

  const isKnown = (queue: Queue) =>
    services.get(queueKey(queue))?.has(queue.service) === true;

  const homeOf = (queue: Queue) => homes.get(queueKey(queue));

  /**
   * Stores the home of a queue, on condition that nothing was stored since all
   * records were read. So the first home stays, also if an append without an
   * answer is carried out late.
   */
  const storeHome = async (queue: Queue): Promise<RecordOutcome> => {
    const refuse = (reason: string): RecordOutcome => ({
      type: "refused",
      retryAfterMs: RETRY_AFTER_MS,
      reason,
    });
    for (let attempts = 0; attempts < MAX_HOME_ATTEMPTS; attempts++) {
      const nextOffset = await readAll();
      if (homeOf(queue) !== undefined) return { type: "stored" };
      if (nextOffset === undefined) {
        return refuse("the homes of the queues could not be read");
      }
      const outcome = await store.append(QUEUES_PARTITION, {
        records: [encodeHome(queue)],
        expectedNextOffset: nextOffset,
        timeoutMs: APPEND_TIMEOUT_MS,
      });
      const { name, service } = queue;
      if (outcome.type === "stored") {
        events.log("queueHomeStored", { queue: name, service });
      }
      if (outcome.type === "refused" || outcome.type === "rejected") {
        return refuse(`the home of the queue is not stored: ${outcome.reason}`);
      }
    }
    return refuse("other members store records all the time");
  };

  const storeService = async (queue: Queue): Promise<void> => {
    const record = encodeQueueService(queue);
    if (serviceRecordings.has(record.key)) return;
    serviceRecordings.add(record.key);
    const earlier = services.get(queueKey(queue))?.size ?? 0;
    await store.append(QUEUES_PARTITION, {
      records: [record],
      timeoutMs: APPEND_TIMEOUT_MS,
    });
    // This also shows whether an append without an answer was carried out.
    await readAll();
    serviceRecordings.delete(record.key);
    if (!isKnown(queue)) return;
    const { name, service } = queue;
    events.log("queueServiceStored", { queue: name, service, earlier });
  };

  return {
    isComplete: follower.isComplete,
    servicesOf: (queue) => [
      ...new Set([queue.service, ...services.get(queueKey(queue)) ?? []]),
    ],
    homeOf,
    async record(queue) {
      if (homeOf(queue) === undefined) {
        const key = queueKey(queue);
        let recording = homeRecordings.get(key);
        if (recording === undefined) {
          recording = storeHome(queue)
            .finally(() => homeRecordings.delete(key));
          homeRecordings.set(key, recording);
        }
        const outcome = await recording;
        if (outcome.type !== "stored") return outcome;
      }
      if (!isKnown(queue)) void storeService(queue);
      return { type: "stored" };
    },
    refresh: async () => await readAll() !== undefined,
    close: follower.close,
  };
}

function queueKey(
  { host, pathPrefix }: Pick<QueueService, "host" | "pathPrefix">,
): string {
  return `${host} ${pathPrefix}`;
}

/** Encodes the present service of a queue; keys have to be short. */
function encodeQueueService({ host, pathPrefix, service }: QueueService) {
  const value = JSON.stringify({ host, pathPrefix, service });
  const key = createHash("sha256").update(value).digest("hex");
  return { key, value };
}

/** Encodes that a queue has its home at its present service. */
function encodeHome(queue: QueueService) {
  const { host, pathPrefix } = queue;
  const digest = createHash("sha256")
    .update(JSON.stringify({ host, pathPrefix })).digest("hex");
  return { key: HOME_PREFIX + digest, value: encodeQueueService(queue).value };
}

function decodeQueueService(
  value: string | undefined,
): QueueService | undefined {
  return QueueService.safeParse(parseJson(value)).data;
}
