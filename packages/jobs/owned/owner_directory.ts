/**
 * Directory of the members and the partitions that they own.
 *
 * @module
 */

import type { Store } from "../ports.ts";
import { OWNERS_GROUP } from "../topics.ts";

/** Age from which the list of owners is read again. */
const MAX_AGE_MS = 5_000;

/** Shortest time between two reads of the list. */
const MIN_AGE_MS = 200;

/** Separates the address of a member from its incarnation. */
const INCARNATION_SEPARATOR = "#";

/** Cached list of the owners of all partitions. */
export type OwnerDirectory = {
  /** Address of a partition's owner for other members, if it is known. */
  find(partition: number): Promise<string | undefined>;
  /** Addresses of all owners, without duplicates, as they were last read. */
  members(): string[];
  /** Marks the list as outdated, so that the next call of `find` reads it. */
  invalidate(): void;
};

/** Returns the name of one incarnation of a member in the group of owners. */
export function memberName(address: string, incarnation: string): string {
  return address + INCARNATION_SEPARATOR + incarnation;
}

function addressOf(member: string): string {
  return member.split(INCARNATION_SEPARATOR)[0] ?? "";
}

/**
 * Creates a directory that reads the list of owners from the store on demand,
 * if the cached one is outdated.
 *
 * @example
 * ```ts
 * const address = await createOwnerDirectory(store).find(3);
 * ```
 */
export function createOwnerDirectory(store: Store): OwnerDirectory {
  let owners = new Map<number, string>();
  let readAtMs = -Infinity;
  let isStale = true;
  let reading: Promise<void> | undefined;

  const read = async () => {
    const found = await store.owners(OWNERS_GROUP);
    readAtMs = performance.now();
    if (found !== undefined) {
      owners = found;
      isStale = false;
    }
    reading = undefined;
  };

  return {
    async find(partition) {
      const ageMs = performance.now() - readAtMs;
      if (ageMs > MAX_AGE_MS || (isStale && ageMs > MIN_AGE_MS)) {
        reading ??= read();
      }
      if (reading !== undefined) await reading;
      const address = addressOf(owners.get(partition) ?? "");
      // The store reports an empty member for a partition without an owner.
      return address === "" ? undefined : address;
    },
    members: () =>
      [
        ...new Set([...owners.values()].map(addressOf)),
      ].filter((address) => address !== ""),
    invalidate() {
      isStale = true;
    },
  };
}
