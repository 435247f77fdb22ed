/**
 * Measures of capacity and maintenance.
 *
 * @module
 */

export * from "./deployments.ts";
export * from "./measure_rollout.ts";
