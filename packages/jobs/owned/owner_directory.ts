import type { Store } from "../ports.ts";
import { OWNERS_GROUP } from "../topics.ts";

/** Age after which the list of owners is read again. */
const MAX_AGE_MS = 5_000;

/** Shortest time between two reads. */
const MIN_AGE_MS = 200;

/** Separates the address of a member from the mark of its life. */
const INCARNATION_SEPARATOR = "#";

/** List of the members that own the partitions. */
export type OwnerDirectory = {
  /** Peer address of a partition's owner, if it is known. */
  find(partition: number): Promise<string | undefined>;
  /** Peer addresses of the members that were last known. */
  members(): string[];
  /** Reads the list again before the next answer. */
  invalidate(): void;
};

/** Returns the name of one life of a member. */
export function memberName(address: string, life: string): string {
  return address + INCARNATION_SEPARATOR + life;
}

function addressOf(member: string): string {
  return member.split(INCARNATION_SEPARATOR)[0] ?? "";
}

/**
 * Creates a list of owners that is read from the store when it is asked for
 * and old.
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
      // A partition that nobody holds at the moment has an empty member.
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
