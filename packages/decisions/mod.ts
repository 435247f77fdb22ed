/**
 * Pure decision functions of state, event and time.
 *
 * @module
 */

export * from "./admission/mod.ts";
export * from "./budgets/mod.ts";
export * from "./claims/mod.ts";
export * from "./fold/mod.ts";
export * from "./retries/mod.ts";
export * from "./routing/mod.ts";
