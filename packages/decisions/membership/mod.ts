/**
 * Watchers, losses and the right to use slots.
 *
 * @module
 */

export * from "./choose_watcher.ts";
export * from "./slot_rights.ts";
export * from "./watch.ts";
