/**
 * Index of the organisations of a configuration by their keys.
 *
 * @module
 */

import type { Organisation } from "../../fleet.ts";

/** Organisation by key; undefined for a key that several hold. */
type KeyIndex = ReadonlyMap<string, Organisation | undefined>;

const indexes = new WeakMap<readonly Organisation[], KeyIndex>();

/**
 * Returns the name of the organisation that holds a key. A key that several
 * organisations hold identifies none, nor does an empty key.
 *
 * @example
 * ```ts
 * const name = findOrganisation(configuration.organisations, key);
 * ```
 */
export function findOrganisation(
  organisations: readonly Organisation[],
  key: string,
): string | undefined {
  let index = indexes.get(organisations);
  if (index === undefined) {
    index = createIndex(organisations);
    indexes.set(organisations, index);
  }
  return index.get(key)?.name;
}

function createIndex(organisations: readonly Organisation[]): KeyIndex {
  const index = new Map<string, Organisation | undefined>();
  for (const organisation of organisations) {
    for (const key of organisation.apiKeys) {
      if (key === "") continue;
      const isShared = index.has(key) &&
        index.get(key)?.name !== organisation.name;
      index.set(key, isShared ? undefined : organisation);
    }
  }
  return index;
}
