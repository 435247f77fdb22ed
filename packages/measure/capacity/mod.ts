/**
 * Measures of spare capacity, moves of hosts and maintenance waves.
 *
 * @module
 */

export * from "./deployments.ts";
export * from "./measure_buffer.ts";
export * from "./measure_decide_time.ts";
export * from "./measure_rollout.ts";
export * from "./measure_safety.ts";
