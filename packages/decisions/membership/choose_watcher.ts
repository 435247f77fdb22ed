/**
 * Chooses the entry host that monitors the heartbeats of another one.
 *
 * @module
 */

/** Options of {@linkcode chooseWatcher}. */
export type ChooseWatcherOptions = {
  /** Name of the entry host that needs a watcher. */
  self: string;
  /** Watcher that the last folded record names, if any. */
  current: string | undefined;
  /** Entry hosts of the same data centre that answer messages. */
  answering: readonly string[];
};

/**
 * Returns the entry host to name as the new watcher, or undefined if the
 * current one still answers or no other entry host does. Each entry host
 * prefers the next one in the order of names, so that no entry host watches all
 * others.
 *
 * @example
 * ```ts
 * const next = chooseWatcher({ self, current: undefined, answering });
 * ```
 */
export function chooseWatcher(
  options: ChooseWatcherOptions,
): string | undefined {
  const { self, current, answering } = options;
  if (current !== undefined && answering.includes(current)) return undefined;
  const others = answering.filter((name) => name !== self).sort();
  return others.find((name) => name > self) ?? others[0];
}
