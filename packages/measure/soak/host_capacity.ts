/**
 * Capacity of an executor of a soak test, which may shrink and grow.
 *
 * @module
 */

import type { Size } from "@lagoonloom/jobs";

/** Capacity of the executors of a soak test. */
export const HOST_CAPACITY: Size = {
  cpu: 4_000,
  memoryMb: 32_768,
  accelerators: 0,
};

/**
 * Time after which a capacity that has shrunk counts: `contactMs` of the
 * platform and one heartbeat of the executor.
 */
const SHRINK_GRACE_MS = 3_000 + 1_500;

/** Capacity of a process over time, in thousandths of a core. */
export type HostCapacity = {
  /** Capacity that it has now. */
  currentCpu(): number;
  /** Largest capacity that counts for an order of a monotonic time. */
  countedCpu(atMs: number): number;
  set(cpu: number): void;
};

/** Creates the full capacity of a new process. */
export function createHostCapacity(): HostCapacity {
  const changes = [{ cpu: HOST_CAPACITY.cpu, atMs: -Infinity }];
  return {
    currentCpu: () => changes.at(-1)!.cpu,
    countedCpu(atMs) {
      const counted = changes.filter((_, index) => {
        const endMs = changes[index + 1]?.atMs ?? Infinity;
        return endMs > atMs - SHRINK_GRACE_MS;
      });
      return Math.max(...counted.map(({ cpu }) => cpu));
    },
    set(cpu) {
      changes.push({ cpu, atMs: performance.now() });
    },
  };
}
