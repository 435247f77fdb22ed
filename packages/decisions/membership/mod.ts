/**
 * Membership of entry hosts: the choice of watchers, the detection of lost
 * members, and the right of a member to use its slots.
 *
 * @module
 */

export * from "./choose_watcher.ts";
export * from "./slot_rights.ts";
export * from "./watcher_state.ts";
