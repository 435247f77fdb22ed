/**
 * Digest that tells whether two entry hosts compute the same slot owners.
 *
 * @module
 */

import { createHash } from "node:crypto";
import type { SlotHost } from "./assign_slots.ts";

/** Input of an assignment that its digest covers. */
export type SlotBasisInput = {
  /** Generation of the membership, which changes with every join and leave. */
  generation: number;
  /** Executors of the data centre. */
  hosts: readonly SlotHost[];
};

/**
 * Returns a 64-bit digest of the input from which the owners of a data centre's
 * slots are computed. Two entry hosts with the same digest compute the same
 * owners, even if their sets differ in other objects.
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
