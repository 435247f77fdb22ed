/**
 * Deterministic fold of the stream `control`.
 *
 * @module
 */

export * from "./apply_record.ts";
export * from "./encode_checkpoint.ts";
export * from "./fleet_state.ts";
export * from "./job_state.ts";
export * from "./record_outcome.ts";
