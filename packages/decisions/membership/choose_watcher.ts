/** What the choice of a watcher depends on. */
export type WatcherChoice = {
  self: string;
  /** Watcher that the log names now. */
  current: string | undefined;
  /** Entry hosts of the own data centre that answer heartbeats. */
  answering: readonly string[];
};

/**
 * Returns the entry host to name as the watcher, or undefined if the present
 * one stays or nobody answers. Each entry host prefers the one after it in the
 * order of names, so that watchers are spread.
 *
 * @example
 * ```ts
 * const next = chooseWatcher({ self, current: undefined, answering });
 * ```
 */
export function chooseWatcher(choice: WatcherChoice): string | undefined {
  const { self, current, answering } = choice;
  if (current !== undefined && answering.includes(current)) return undefined;
  const others = answering.filter((name) => name !== self).sort();
  return others.find((name) => name > self) ?? others[0];
}
