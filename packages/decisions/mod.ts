/**
 * Pure functions that decide on requests, slots, claims, hosts and jobs from a
 * state, an event and the time.
 *
 * @module
 */

export * from "./admission/mod.ts";
export * from "./budgets/mod.ts";
export * from "./claims/mod.ts";
export * from "./deciders/mod.ts";
export * from "./explain/mod.ts";
export * from "./fold/mod.ts";
export * from "./membership/mod.ts";
export * from "./observations/mod.ts";
export * from "./placement/mod.ts";
export * from "./pools/mod.ts";
export * from "./retries/mod.ts";
export * from "./routing/mod.ts";
export * from "./slots/mod.ts";
export * from "./waves/mod.ts";
