/**
 * Queue of calls in virtual time, for simulations.
 *
 * @module
 */

/** Call scheduled at a virtual time. */
type ScheduledCall = { atMs: number; order: number; run: () => void };

/**
 * Scheduled calls in order of virtual time. Calls at the same time run in the
 * order in which they were scheduled.
 */
export type EventQueue = {
  /** Virtual time in milliseconds. */
  nowMs: number;
  nextOrder: number;
  /** Binary heap whose first element is the next call. */
  heap: ScheduledCall[];
};

/**
 * Returns an empty queue at time zero.
 *
 * @example
 * ```ts
 * const events = createEventQueue();
 * ```
 */
export function createEventQueue(): EventQueue {
  return { nowMs: 0, nextOrder: 0, heap: [] };
}

/**
 * Schedules a call at a virtual time in milliseconds.
 *
 * @example
 * ```ts
 * schedule(events, 250, () => finish(id));
 * ```
 */
export function schedule(
  events: EventQueue,
  atMs: number,
  run: () => void,
): void {
  const { heap } = events;
  const entry = { atMs, order: events.nextOrder++, run };
  let index = heap.length;
  heap.push(entry);
  while (index > 0) {
    const parent = (index - 1) >> 1;
    if (!isBefore(entry, heap[parent]!)) break;
    heap[index] = heap[parent]!;
    index = parent;
  }
  heap[index] = entry;
}

/**
 * Runs all calls that are due up to and including a virtual time.
 *
 * @example
 * ```ts
 * runUntil(events, 45_000);
 * ```
 */
export function runUntil(events: EventQueue, endMs: number): void {
  for (;;) {
    const entry = events.heap[0];
    if (entry === undefined || entry.atMs > endMs) return;
    removeFirst(events.heap);
    events.nowMs = entry.atMs;
    entry.run();
  }
}

function removeFirst(heap: ScheduledCall[]): void {
  const last = heap.pop()!;
  if (heap.length === 0) return;
  let index = 0;
  for (;;) {
    let child = 2 * index + 1;
    if (child >= heap.length) break;
    if (child + 1 < heap.length && isBefore(heap[child + 1]!, heap[child]!)) {
      child++;
    }
    if (!isBefore(heap[child]!, last)) break;
    heap[index] = heap[child]!;
    index = child;
  }
  heap[index] = last;
}

function isBefore(a: ScheduledCall, b: ScheduledCall): boolean {
  return a.atMs < b.atMs || (a.atMs === b.atMs && a.order < b.order);
}
