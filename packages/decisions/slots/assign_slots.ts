import { hashText } from "./internal/hash_text.ts";

/** Executor whose slots are assigned. */
export type SlotHost = { name: string; dataCentre: string; slots: number };

/** Entry host that can own slots. */
export type SlotMember = { name: string; dataCentre: string };

/** What the owners of slots are computed from. */
export type SlotAssignmentInput = {
  hosts: readonly SlotHost[];
  members: readonly SlotMember[];
};

/** Owners of each executor's slots by index; undefined without a member. */
export type SlotAssignment = ReadonlyMap<
  string,
  readonly (string | undefined)[]
>;

/**
 * Assigns every slot of every executor to one entry host of its data centre by
 * rendezvous hashing. Each entry host gets an even share of each executor, so
 * that the shares of two entry hosts differ by at most one.
 *
 * @example
 * ```ts
 * const owners = assignSlots({ hosts, members }).get("quoting-1");
 * ```
 */
export function assignSlots(input: SlotAssignmentInput): SlotAssignment {
  const members = new Map<string, string[]>();
  for (const { name, dataCentre } of input.members) {
    const names = members.get(dataCentre);
    if (names === undefined) members.set(dataCentre, [name]);
    else names.push(name);
  }
  for (const names of members.values()) names.sort();
  const assignment = new Map<string, readonly (string | undefined)[]>();
  for (const host of input.hosts) {
    const names = members.get(host.dataCentre) ?? [];
    assignment.set(host.name, assignHostSlots(host, names));
  }
  return assignment;
}

/**
 * Takes the pairs of slot and member in the order of their hashes. A member
 * that has its even share takes no more; the remainder of the division goes to
 * the members that come first in an order of the executor's own.
 */
function assignHostSlots(
  host: SlotHost,
  members: readonly string[],
): (string | undefined)[] {
  const owners = new Array<string | undefined>(host.slots).fill(undefined);
  if (members.length === 0) return owners;
  const left = computeShares(host, members);
  const pairs = members.flatMap((member) => {
    // The member's own hash is mixed with the slot, which saves hashing the
    // names again for each of the 8 slots of 3,600 executors.
    const seed = hashText(`${member}/${host.name}`);
    return owners.map((_, slot) => ({
      member,
      slot,
      hash: hashText(`${seed}/${slot}`),
    }));
  });
  pairs.sort((a, b) => b.hash - a.hash || (a.member < b.member ? -1 : 1));
  for (const { member, slot } of pairs) {
    const share = left.get(member)!;
    if (share === 0 || owners[slot] !== undefined) continue;
    owners[slot] = member;
    left.set(member, share - 1);
  }
  return owners;
}

function computeShares(
  host: SlotHost,
  members: readonly string[],
): Map<string, number> {
  const even = Math.floor(host.slots / members.length);
  const remainder = host.slots % members.length;
  const ordered = members
    .map((name) => ({ name, hash: hashText(`${host.name}#${name}`) }))
    .sort((a, b) => b.hash - a.hash || (a.name < b.name ? -1 : 1));
  return new Map(
    ordered.map(({ name }, rank) => [name, even + (rank < remainder ? 1 : 0)]),
  );
}
