/**
 * Deterministic fold of the stream `control`.
 *
 * @module
 */

export * from "./fleet_state.ts";
export * from "./record_outcome.ts";
