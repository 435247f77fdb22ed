/**
 * Assigns the slots of executors to entry hosts.
 *
 * @module
 */

import { hashText } from "./internal/hash_text.ts";

/** Executor whose slots are assigned. */
export type SlotHost = { name: string; dataCentre: string; slots: number };

/** Entry host that can own slots. */
export type SlotMember = { name: string; dataCentre: string };

/** Executors and entry hosts from which the owners of slots are computed. */
export type SlotAssignmentInput = {
  hosts: readonly SlotHost[];
  members: readonly SlotMember[];
};

/**
 * Owners of each executor's slots by index. A slot has no owner if its data
 * centre has no entry host.
 */
export type SlotAssignment = ReadonlyMap<
  string,
  readonly (string | undefined)[]
>;

/**
 * Assigns every slot of every executor to one entry host of its data centre by
 * rendezvous hashing. The slots of an executor are shared evenly: the shares of
 * two entry hosts differ by at most one.
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
 * Assigns the slots of one executor. Takes the pairs of slot and member in the
 * order of their hashes, and skips members that already have their share.
 */
function assignHostSlots(
  host: SlotHost,
  members: readonly string[],
): (string | undefined)[] {
  const owners = new Array<string | undefined>(host.slots).fill(undefined);
  if (members.length === 0) return owners;
  const remaining = computeShares(host, members);
  const pairs = members.flatMap((member) => {
    // Hashes the names once per executor and not once per slot, since there are
    // 3,600 executors with 8 slots each.
    const seed = hashText(`${member}/${host.name}`);
    return owners.map((_, slot) => ({
      member,
      slot,
      hash: hashText(`${seed}/${slot}`),
    }));
  });
  pairs.sort((a, b) => b.hash - a.hash || (a.member < b.member ? -1 : 1));
  for (const { member, slot } of pairs) {
    const share = remaining.get(member)!;
    if (share === 0 || owners[slot] !== undefined) continue;
    owners[slot] = member;
    remaining.set(member, share - 1);
  }
  return owners;
}

/**
 * Returns the number of slots that each member gets. The remainder of the
 * division goes to members in an order that differs between executors.
 */
function computeShares(
  host: SlotHost,
  members: readonly string[],
): Map<string, number> {
  const baseShare = Math.floor(host.slots / members.length);
  const remainder = host.slots % members.length;
  const ordered = members
    .map((name) => ({ name, hash: hashText(`${host.name}#${name}`) }))
    .sort((a, b) => b.hash - a.hash || (a.name < b.name ? -1 : 1));
  return new Map(
    ordered.map((
      { name },
      rank,
    ) => [name, baseShare + (rank < remainder ? 1 : 0)]),
  );
}
