/**
 * Collection of the chunks of large bodies after they have been copied.
 *
 * @module
 */

import { setFlagsFromString } from "node:v8";
import { runInNewContext } from "node:vm";

/** Bytes of copied chunks after which they are collected. */
const COLLECTION_BYTES = 8 * 1_024 * 1_024;

/** Size of a chunk from which it counts, in bytes. */
const LARGE_CHUNK_BYTES = 8 * 1_024;

/** Counts chunks that have been copied and are not needed any more. */
export type ChunkCollection = { count(bytes: number): void };

/**
 * Creates the counter. V8 counts chunks, which lie outside its heap, only from
 * 64 MB on, more than a small machine has free; a collection of the young
 * generation frees them within a millisecond or two. Chunks of ordinary
 * requests are not counted.
 *
 * @example
 * ```ts
 * const collection = createChunkCollection();
 * collection.count(65_536);
 * ```
 */
export function createChunkCollection(
  createCollect: () => () => void = createCollector,
): ChunkCollection {
  let bytes = 0;
  // Its context costs all code of the process time, so it is created late.
  let collect: (() => void) | undefined;
  return {
    count(chunkBytes) {
      if (chunkBytes < LARGE_CHUNK_BYTES) return;
      bytes += chunkBytes;
      if (bytes < COLLECTION_BYTES) return;
      bytes = 0;
      // The chunk at hand is still in use.
      collect ??= createCollect();
      setImmediate(collect);
    },
  };
}

/** Returns the function that collects the young generation. */
function createCollector(): () => void {
  setFlagsFromString("--expose-gc");
  const collect: unknown = runInNewContext("gc");
  setFlagsFromString("--no-expose-gc");
  return () => {
    if (typeof collect === "function") collect({ type: "minor" });
  };
}
