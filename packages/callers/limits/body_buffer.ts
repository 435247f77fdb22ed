/**
 * Buffer that joins the chunks of a body as they arrive.
 *
 * @module
 */

/** Size of a segment, in bytes. */
export const SEGMENT_BYTES = 16 * 1_024;

/** Free segments that are kept, in bytes. */
const MAX_FREE_BYTES = 8 * 1_024 * 1_024;

/** Segments of memory that bodies use in turn. */
export type SegmentPool = {
  take(): Uint8Array;
  give(segments: readonly Uint8Array[]): void;
};

/**
 * Creates a pool. What a refused body used is free at once, whereas the garbage
 * collector may leave it allocated until 64 MB have gathered.
 *
 * @example
 * ```ts
 * const pool = createSegmentPool();
 * pool.give([pool.take()]);
 * ```
 */
export function createSegmentPool(): SegmentPool {
  const free: Uint8Array[] = [];
  return {
    take: () => free.pop() ?? new Uint8Array(SEGMENT_BYTES),
    give(segments) {
      for (const segment of segments) {
        if (free.length * SEGMENT_BYTES < MAX_FREE_BYTES) free.push(segment);
      }
    },
  };
}

/** Bytes of a body so far. */
export type BodyBuffer = {
  size(): number;
  /** Returns what the body costs after `bytes` more. */
  costAfter(bytes: number): number;
  append(chunk: Uint8Array): void;
  /** Returns the body and frees its segments. */
  finish(): Uint8Array;
  /** Frees the segments of a body that was given up. */
  drop(): void;
};

/**
 * Creates a buffer. It copies chunks into segments, so that a chunk of one byte
 * costs one byte. A body in one small chunk is kept as it is.
 *
 * @example
 * ```ts
 * const buffer = createBodyBuffer(pool);
 * buffer.append(chunk);
 * ```
 */
export function createBodyBuffer(pool: SegmentPool): BodyBuffer {
  let only: Uint8Array | undefined;
  let segments: Uint8Array[] = [];
  let size = 0;

  const copy = (chunk: Uint8Array) => {
    let from = 0;
    while (from < chunk.length) {
      const offset = size % SEGMENT_BYTES;
      if (offset === 0) segments.push(pool.take());
      const end = Math.min(chunk.length, from + SEGMENT_BYTES - offset);
      segments.at(-1)!.set(chunk.subarray(from, end), offset);
      size += end - from;
      from = end;
    }
  };
  const drop = () => {
    pool.give(segments);
    segments = [];
    only = undefined;
    size = 0;
  };
  return {
    size: () => size,
    costAfter: (bytes) =>
      size === 0 && bytes <= SEGMENT_BYTES
        ? bytes
        : Math.ceil((size + bytes) / SEGMENT_BYTES) * SEGMENT_BYTES,
    append(chunk) {
      if (size === 0 && chunk.length <= SEGMENT_BYTES) {
        only = chunk;
        size = chunk.length;
        return;
      }
      if (only !== undefined) {
        const first = only;
        only = undefined;
        size = 0;
        copy(first);
      }
      copy(chunk);
    },
    finish() {
      const body = only ?? Buffer.concat(segments, size);
      drop();
      return body;
    },
    drop,
  };
}
