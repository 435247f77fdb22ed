/**
 * Buffer that joins the chunks of a body as they arrive.
 *
 * @module
 */

/** Smallest capacity of a buffer of several chunks, in bytes. */
const MIN_CAPACITY_BYTES = 1_024;

/** Bytes of a body so far; its capacity is what it costs. */
export type BodyBuffer = {
  size(): number;
  /** Returns the capacity after `bytes` more. */
  capacityFor(bytes: number): number;
  append(chunk: Uint8Array): void;
  /** Returns the body, without a copy. */
  bytes(): Uint8Array;
};

/**
 * Creates a buffer. It copies further chunks, so that a chunk of one byte costs
 * one byte, and grows by doubling up to the largest body.
 *
 * @example
 * ```ts
 * const buffer = createBodyBuffer(262_144);
 * buffer.append(chunk);
 * ```
 */
export function createBodyBuffer(maxBytes: number): BodyBuffer {
  let content: Uint8Array = new Uint8Array(0);
  let size = 0;
  const capacityFor = (bytes: number) => {
    const needed = size + bytes;
    if (size === 0 || needed <= content.length) {
      return Math.max(needed, content.length);
    }
    const doubled = Math.max(2 * content.length, MIN_CAPACITY_BYTES);
    return Math.max(needed, Math.min(doubled, maxBytes));
  };
  return {
    size: () => size,
    capacityFor,
    append(chunk) {
      if (size === 0) {
        content = chunk;
        size = chunk.length;
        return;
      }
      const capacity = capacityFor(chunk.length);
      if (capacity !== content.length) {
        const larger = new Uint8Array(capacity);
        larger.set(content.subarray(0, size));
        content = larger;
      }
      content.set(chunk, size);
      size += chunk.length;
    },
    bytes: () => size === content.length ? content : content.subarray(0, size),
  };
}
