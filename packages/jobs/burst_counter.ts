/**
 * Counter whose bursts are written together, so that a flood of events does not
 * flood a log.
 *
 * @module
 */

/** Time for which events of a key are counted before they are written. */
const INTERVAL_MS = 1_000;

/**
 * Creates a function that counts an event of a key. The first event of a key is
 * written at once, those of the next second together, and so on while there are
 * any.
 *
 * @example
 * ```ts
 * const count = createBurstCounter((key, events) => log(`${events} ${key}`));
 * count("unread");
 * ```
 */
export function createBurstCounter<Key extends string>(
  write: (key: Key, count: number) => void,
): (key: Key) => void {
  /** Events that are not written yet, by keys whose interval goes on. */
  const counts = new Map<Key, number>();

  const startInterval = (key: Key) => {
    counts.set(key, 0);
    setTimeout(() => endInterval(key), INTERVAL_MS).unref();
  };

  const endInterval = (key: Key) => {
    const count = counts.get(key) ?? 0;
    counts.delete(key);
    if (count === 0) return;
    write(key, count);
    startInterval(key);
  };

  return (key) => {
    const count = counts.get(key);
    if (count !== undefined) {
      counts.set(key, count + 1);
      return;
    }
    write(key, 1);
    startInterval(key);
  };
}
