/**
 * Remembers under which services the jobs of each queue were accepted.
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

/** Retry delay for callers while the service of their queue is not stored. */
const RETRY_AFTER_MS = 500;

/** Schema of the record that a queue had a service. */
const QueueService = z.object({
  host: z.string(),
  pathPrefix: z.string(),
  service: z.string(),
});

/** Service that a queue had, which callers know by its host and prefix. */
type QueueService = z.infer<typeof QueueService>;

/**
 * Services that queues have had. A job stays in the partition of the service
 * that its queue had when it was accepted, while a configuration may send the
 * queue to another service.
 */
export type QueueServices = {
  /** Whether the stored services have been read. */
  isComplete(): boolean;
  /** Services of a queue: the present one, then the others that it has had. */
  servicesOf(queue: Queue): string[];
  /**
   * Stores that a queue has its present service, unless that is known already.
   * Without it, a job that is accepted for that service may not be found later.
   * All services that were stored before are known then.
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
  /** Records that are being stored, by key. */
  const recordings = new Map<string, Promise<RecordOutcome>>();

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
    }
  };

  const follower = followTopic(store, QUEUES_PARTITION, {
    waitMs: READ_WAIT_MS,
    pauseMs: 0,
    onRecords: applyRecords,
    onFailure: (reason) =>
      events.log("platformSilent", { topic: QUEUES_PARTITION.topic, reason }),
  });

  const refresh = shareCalls(async () => {
    const newest = await store.readNewest(QUEUES_PARTITION);
    if (newest.type !== "read") return false;
    applyRecords(newest.records);
    return true;
  });

  const isKnown = (queue: Queue) =>
    services.get(queueKey(queue))?.has(queue.service) === true;

  const storeService = async (queue: Queue): Promise<RecordOutcome> => {
    const earlier = services.get(queueKey(queue))?.size ?? 0;
    const outcome = await store.append(QUEUES_PARTITION, {
      records: [encodeQueueService(queue)],
      timeoutMs: APPEND_TIMEOUT_MS,
    });
    // This also shows whether an append without an answer was carried out.
    const isRead = await refresh();
    if (isRead && isKnown(queue)) {
      const { name, service } = queue;
      events.log("queueServiceStored", { queue: name, service, earlier });
      return { type: "stored" };
    }
    return {
      type: "refused",
      retryAfterMs: RETRY_AFTER_MS,
      reason: "reason" in outcome
        ? `the service of the queue is not stored: ${outcome.reason}`
        : "the services of the queues could not be read",
    };
  };

  return {
    isComplete: follower.isComplete,
    servicesOf: (queue) => [
      ...new Set([queue.service, ...services.get(queueKey(queue)) ?? []]),
    ],
    async record(queue) {
      if (isKnown(queue)) return { type: "stored" };
      const { key } = encodeQueueService(queue);
      let recording = recordings.get(key);
      if (recording === undefined) {
        recording = storeService(queue)
          .finally(() => recordings.delete(key));
        recordings.set(key, recording);
      }
      return await recording;
    },
    refresh,
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

function decodeQueueService(
  value: string | undefined,
): QueueService | undefined {
  return QueueService.safeParse(parseJson(value)).data;
}
