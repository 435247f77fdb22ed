/**
 * Directory of the members and the partitions that they own.
 *
 * @module
 */

import { sleep } from "../_sleep.ts";
import type { Store } from "../ports.ts";
import { OWNERS_GROUP } from "../topics.ts";
import { type NamedMember, parseMemberName } from "./member_name.ts";

/** Age from which the list of owners is read again. */
const MAX_AGE_MS = 5_000;

/** Shortest time between two reads of the list. */
const MIN_AGE_MS = 200;

/** Longest wait for the list while it has been read before. */
const MAX_WAIT_MS = 300;

/** Cached list of the owners of all partitions. */
export type OwnerDirectory = {
  /** Address of a partition's owner for other members, if it is known. */
  find(partition: number): Promise<string | undefined>;
  /** Owners as they were last read, one for each address. */
  members(): NamedMember[];
  /** Reads the owners again; undefined if the store does not answer. */
  readMembers(): Promise<NamedMember[] | undefined>;
  /** Marks the list as outdated, so that the next call of `find` reads it. */
  invalidate(): void;
};

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
  let reading: Promise<boolean> | undefined;

  const read = async () => {
    const found = await store.owners(OWNERS_GROUP);
    readAtMs = performance.now();
    if (found !== undefined) {
      owners = found;
      isStale = false;
    }
    reading = undefined;
    return found !== undefined;
  };

  const members = (): NamedMember[] => {
    const byAddress = new Map<string, NamedMember>();
    for (const name of owners.values()) {
      const member = parseMemberName(name);
      if (member !== undefined) byAddress.set(member.address, member);
    }
    return [...byAddress.values()];
  };

  return {
    async find(partition) {
      const ageMs = performance.now() - readAtMs;
      if (ageMs > MAX_AGE_MS || (isStale && ageMs > MIN_AGE_MS)) {
        reading ??= read();
      }
      if (reading !== undefined) {
        // The owner named before may still be right, and answers meanwhile.
        const isNamed = parseMemberName(owners.get(partition) ?? "");
        await (isNamed === undefined
          ? reading
          : Promise.race([reading, sleep(MAX_WAIT_MS)]));
      }
      // The store reports an empty member for a partition without an owner.
      return parseMemberName(owners.get(partition) ?? "")?.address;
    },
    members,
    async readMembers() {
      reading ??= read();
      return await reading ? members() : undefined;
    },
    invalidate() {
      isStale = true;
    },
  };
}
