/**
 * Assignment of executor slots to entry hosts and their handover.
 *
 * @module
 */

export * from "./assign_slots.ts";
export * from "./slot_basis.ts";
export * from "./slot_handover.ts";
export * from "./split_slot_key.ts";
