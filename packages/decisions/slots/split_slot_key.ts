/**
 * Parses the keys of slots.
 *
 * @module
 */

import type { SlotKey } from "./slot_handover.ts";

/** Executor and index of a slot. */
export type SlotParts = { host: string; slot: number };

/**
 * Splits the key of a slot into its executor and index.
 *
 * @example
 * ```ts
 * splitSlotKey("quoting-1/3"); // { host: "quoting-1", slot: 3 }
 * ```
 */
export function splitSlotKey(key: SlotKey): SlotParts {
  const slash = key.lastIndexOf("/");
  return { host: key.slice(0, slash), slot: Number(key.slice(slash + 1)) };
}
