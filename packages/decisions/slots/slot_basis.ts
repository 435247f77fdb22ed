import { createHash } from "node:crypto";
import type { SlotHost } from "./assign_slots.ts";

/** What the basis of an assignment is computed from. */
export type SlotBasisInput = {
  /** Generation of the membership. */
  generation: number;
  /** Executors of the data centre. */
  hosts: readonly SlotHost[];
};

/**
 * Returns a 64-bit digest of what the owners of a data centre's slots are
 * computed from. Two entry hosts with the same basis compute the same owners,
 * also while their sets differ in other objects.
 *
 * @example
 * ```ts
 * const basis = slotBasis({ generation: 3, hosts });
 * ```
 */
export function slotBasis(input: SlotBasisInput): bigint {
  const hosts = input.hosts.map(({ name, slots }) => `${name}:${slots}`).sort();
  return createHash("sha256")
    .update(`${input.generation};${hosts.join(",")}`)
    .digest()
    .readBigUInt64BE();
}
