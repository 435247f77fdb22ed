/**
 * Limit on the memory that message bodies in transit use together.
 *
 * @module
 */

/** Limit on the memory for message bodies, in bytes. */
export type MemoryBudget = {
  /** Reserves bytes; returns false if the limit would be exceeded. */
  reserve(bytes: number): boolean;
  /** Releases reserved bytes. */
  release(bytes: number): void;
  /** Returns the number of reserved bytes. */
  used(): number;
};

/**
 * Creates a memory budget that several messages share.
 *
 * @example
 * ```ts
 * const budget = createMemoryBudget(32 * 1_024 * 1_024);
 * if (budget.reserve(512)) budget.release(512);
 * ```
 */
export function createMemoryBudget(maxBytes: number): MemoryBudget {
  let used = 0;
  return {
    reserve(bytes) {
      if (used + bytes > maxBytes) return false;
      used += bytes;
      return true;
    },
    release(bytes) {
      used -= bytes;
    },
    used: () => used,
  };
}
