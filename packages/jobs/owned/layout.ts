import { z } from "zod";
import type { Store, TopicPartition } from "../ports.ts";

/** Key of the only record of the layout topic. */
const LAYOUT_KEY = "layout";

/** Place of the layout in the store. */
export const LAYOUT_PARTITION: TopicPartition = {
  topic: "layout",
  partition: 0,
};

/** Executors of a service above which it is divided into more partitions. */
export const MAX_EXECUTORS_PER_PARTITION = 16;

/** Schema of the partitions of each service. */
const LayoutDocument = z.object({
  services: z.record(z.string(), z.array(z.int().min(0)).min(1)),
});

/** Partitions of each service; an entry never changes once it is stored. */
export type Layout = ReadonlyMap<string, readonly number[]>;

/**
 * Plans the partitions of services that have none yet. Partitions are taken
 * at even distances, so that any even dealing gives them to different members.
 * The last one is kept for the owner of the machines.
 *
 * @example
 * ```ts
 * const layout = planLayout(new Map(), { sizes, partitions: 32 });
 * ```
 */
export function planLayout(
  layout: Layout,
  options: {
    /** Executors by service. */
    sizes: ReadonlyMap<string, number>;
    partitionCount: number;
  },
): Layout {
  const usable = Math.max(1, options.partitionCount - 1);
  const used = new Set([...layout.values()].flat());
  const names = [...options.sizes.keys()].filter((name) => !layout.has(name))
    .sort();
  const wanted = names.map((name) =>
    Math.max(
      1,
      Math.ceil(options.sizes.get(name)! / MAX_EXECUTORS_PER_PARTITION),
    )
  );
  const total = wanted.reduce((sum, count) => sum + count, 0);
  const planned = new Map(layout);
  let rank = 0;
  names.forEach((name, at) => {
    const own: number[] = [];
    for (let count = 0; count < wanted[at]!; count++, rank++) {
      own.push(nextFree(Math.floor(rank * usable / total), { used, usable }));
    }
    planned.set(name, own);
  });
  return planned;
}

function nextFree(
  from: number,
  { used, usable }: { used: Set<number>; usable: number },
): number {
  for (let step = 0; step < usable; step++) {
    const candidate = (from + step) % usable;
    if (used.has(candidate)) continue;
    used.add(candidate);
    return candidate;
  }
  // More services than partitions: some partitions serve several.
  return from % usable;
}

/** Returns the partition of the owner of the machines. */
export function machinesPartition(partitionCount: number): number {
  return partitionCount - 1;
}

/** Returns the partition of a service that a key belongs to. */
export function partitionOf(
  layout: Layout,
  { service, key }: { service: string; key: string },
): number | undefined {
  const own = layout.get(service);
  return own?.[hashOf(key) % own.length];
}

function hashOf(key: string): number {
  let hash = 0x811c9dc5;
  for (let at = 0; at < key.length; at++) {
    hash = Math.imul(hash ^ key.charCodeAt(at), 0x01000193) >>> 0;
  }
  return hash;
}

/** Reads the stored layout and its end; undefined if the store failed. */
export async function readLayout(
  store: Store,
): Promise<{ layout: Layout; end: number } | undefined> {
  const newest = await store.readNewest(LAYOUT_PARTITION);
  if (newest.type !== "read") return undefined;
  const record = newest.records.find(({ key }) => key === LAYOUT_KEY);
  if (record?.value === undefined) {
    return { layout: new Map(), end: newest.nextOffset };
  }
  const { services } = LayoutDocument.parse(JSON.parse(record.value));
  return { layout: new Map(Object.entries(services)), end: newest.nextOffset };
}

/** Stores a layout if nobody has stored another one meanwhile. */
export async function storeLayout(
  store: Store,
  { layout, end }: { layout: Layout; end: number },
): Promise<void> {
  await store.append(LAYOUT_PARTITION, {
    records: [{
      key: LAYOUT_KEY,
      value: JSON.stringify({ services: Object.fromEntries(layout) }),
    }],
    expectedNextOffset: end,
    timeoutMs: 1_500,
  });
}
