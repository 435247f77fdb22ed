/**
 * Names of members in the group of owners.
 *
 * @module
 */

/** What the machine of a member can carry. */
export type MemberCapacity = {
  /** Processor time, in thousandths of a core. */
  cpu: number;
  /** Bandwidth of its network link. */
  linkMbps: number;
};

/** Member of the group of owners, as its name tells. */
export type NamedMember = {
  /** Address at which other members call it. */
  address: string;
  /** Undefined if the name does not tell it. */
  capacity: MemberCapacity | undefined;
};

/** Separates the parts of a name. */
const SEPARATOR = "#";

/**
 * Returns the name of one incarnation of a member. Other members learn its
 * address and its capacity from the name, as the store's list of owners has
 * nothing else.
 *
 * @example
 * ```ts
 * formatMemberName({ address, capacity: { cpu: 675, linkMbps: 140 } }, "17");
 * // "10.1.0.9:7060#17#675#140"
 * ```
 */
export function formatMemberName(
  { address, capacity }: { address: string; capacity: MemberCapacity },
  incarnation: string,
): string {
  const { cpu, linkMbps } = capacity;
  return [address, incarnation, cpu, linkMbps].join(SEPARATOR);
}

/** Parses a name; undefined for the empty name of a partition without owner. */
export function parseMemberName(name: string): NamedMember | undefined {
  const [address = "", , cpu, linkMbps] = name.split(SEPARATOR);
  if (address === "") return undefined;
  const isComplete = cpu !== undefined && linkMbps !== undefined;
  return {
    address,
    capacity: isComplete
      ? { cpu: Number(cpu), linkMbps: Number(linkMbps) }
      : undefined,
  };
}
