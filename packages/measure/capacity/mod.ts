/**
 * Measures of capacity and maintenance.
 *
 * @module
 */

export * from "./deployments.ts";
export * from "./measure_buffer.ts";
export * from "./measure_decide_time.ts";
export * from "./measure_rollout.ts";
export * from "./measure_safety.ts";
