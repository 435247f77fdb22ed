/**
 * Layout: assignment of partitions to services.
 *
 * @module
 */

import { z } from "zod";
import type { Store, TopicPartition } from "../ports.ts";

/** Key of the only record in the layout topic. */
const LAYOUT_KEY = "layout";

/** Partition that stores the layout. */
export const LAYOUT_PARTITION: TopicPartition = {
  topic: "layout",
  partition: 0,
};

/** Schema of the stored layout. */
const LayoutDocument = z.object({
  services: z.record(z.string(), z.array(z.int().min(0)).min(1)),
});

/**
 * Partitions of each service. An entry never changes once it is stored, as the
 * jobs of a service could not be found in other partitions.
 */
export type Layout = ReadonlyMap<string, readonly number[]>;

/**
 * Assigns a partition to each service that has none yet. They are evenly
 * spaced, so that an even assignment mostly gives them to different members,
 * and evenly shared where there are more services than partitions.
 * The last partition stands for the machines and belongs to no service.
 *
 * A service is not divided: its owner has to see all of its executors, since a
 * step may need more different executors than a part of them has.
 *
 * @example
 * ```ts
 * const layout = planLayout(new Map(), {
 *   services: ["quoting", "orders"],
 *   partitionCount: 32,
 * });
 * ```
 */
export function planLayout(
  layout: Layout,
  { services, partitionCount }: {
    /** Names of all services, known ones included. */
    services: readonly string[];
    partitionCount: number;
  },
): Layout {
  const usableCount = Math.max(1, partitionCount - 1);
  const assigned = [...layout.values()].flat();
  const serviceCounts = Array.from(
    { length: usableCount },
    (_, partition) => assigned.filter((it) => it === partition).length,
  );
  const added = services.filter((name) => !layout.has(name)).sort();
  const planned = new Map(layout);
  added.forEach((name, rank) => {
    const first = Math.floor(rank * usableCount / added.length);
    planned.set(name, [takeLeastShared(first, serviceCounts)]);
  });
  return planned;
}

/**
 * Takes the partition with the fewest services, the next one at or after a
 * number with wrap-around. With more services than partitions, services share
 * partitions.
 */
function takeLeastShared(first: number, serviceCounts: number[]): number {
  const fewest = Math.min(...serviceCounts);
  const next = serviceCounts.indexOf(fewest, first);
  const partition = next === -1 ? serviceCounts.indexOf(fewest) : next;
  serviceCounts[partition]!++;
  return partition;
}

/** Returns the partitions of all services, each once. */
export function servicePartitions(layout: Layout): ReadonlySet<number> {
  return new Set([...layout.values()].flat());
}

/** Returns the partition whose owner manages the machines. */
export function machinesPartition(partitionCount: number): number {
  return partitionCount - 1;
}

/**
 * Returns the partition of a job or an executor of a service; undefined if the
 * service has no partitions yet.
 */
export function partitionOf(
  layout: Layout,
  { service, key }: { service: string; key: string },
): number | undefined {
  const partitions = layout.get(service);
  return partitions?.[hashKey(key) % partitions.length];
}

/** Returns the 32-bit FNV-1a hash of the code units of a key. */
function hashKey(key: string): number {
  let hash = 0x811c9dc5;
  for (let index = 0; index < key.length; index++) {
    hash = Math.imul(hash ^ key.charCodeAt(index), 0x01000193) >>> 0;
  }
  return hash;
}

/**
 * Reads the stored layout.
 *
 * @returns the layout and the next offset of its partition; undefined if the
 * store did not answer
 */
export async function readLayout(
  store: Store,
): Promise<{ layout: Layout; nextOffset: number } | undefined> {
  const newest = await store.readNewest(LAYOUT_PARTITION);
  if (newest.type !== "read") return undefined;
  const record = newest.records.find(({ key }) => key === LAYOUT_KEY);
  if (record?.value === undefined) {
    return { layout: new Map(), nextOffset: newest.nextOffset };
  }
  const { services } = LayoutDocument.parse(JSON.parse(record.value));
  return {
    layout: new Map(Object.entries(services)),
    nextOffset: newest.nextOffset,
  };
}

/** Stores a layout, unless another one was stored since the last read. */
export async function storeLayout(
  store: Store,
  { layout, nextOffset }: { layout: Layout; nextOffset: number },
): Promise<void> {
  await store.append(LAYOUT_PARTITION, {
    records: [{
      key: LAYOUT_KEY,
      value: JSON.stringify({ services: Object.fromEntries(layout) }),
    }],
    expectedNextOffset: nextOffset,
    timeoutMs: 1_500,
  });
}
