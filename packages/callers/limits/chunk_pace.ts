/**
 * Limit on the processor time for bodies in very small chunks.
 *
 * @module
 */

/** Chunks of a body that are read before their size matters. */
const FREE_CHUNKS = 2_048;

/** Mean size of a chunk from which a body is no concern, in bytes. */
const SMALL_CHUNK_BYTES = 64;

/** Seconds of the rate that a pause saves up. */
const BURST_S = 6;

/** Decides whether one more chunk of a body may be read. */
export type ChunkPace = {
  /** Counts a chunk, given how much of its body has arrived with it. */
  take(chunks: number, bytes: number): boolean;
};

/**
 * Creates the limit that all bodies share. A body of the largest size in
 * chunks of one byte is read whole unless many others are sent so.
 *
 * @example
 * ```ts
 * const pace = createChunkPace(100_000);
 * ```
 */
export function createChunkPace(
  chunksPerS: number,
  now: () => number = () => performance.now(),
): ChunkPace {
  const burst = chunksPerS * BURST_S;
  let left = burst;
  let lastMs = now();
  return {
    take(chunks, bytes) {
      if (chunks <= FREE_CHUNKS || bytes >= chunks * SMALL_CHUNK_BYTES) {
        return true;
      }
      if (left < 1) {
        const nowMs = now();
        left = Math.min(burst, left + (nowMs - lastMs) * chunksPerS / 1_000);
        lastMs = nowMs;
      }
      if (left < 1) return false;
      left--;
      return true;
    },
  };
}
