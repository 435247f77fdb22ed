/** Memory that answers in transit may use, in bytes. */
export type MemoryBudget = {
  /** Reserves bytes; returns false if the budget does not have them. */
  reserve(bytes: number): boolean;
  release(bytes: number): void;
  /** Bytes in use. */
  used(): number;
};

/**
 * Creates the memory budget that all answers in transit share.
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
