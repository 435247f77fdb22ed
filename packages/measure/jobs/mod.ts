/**
 * Measures of jobs on workers.
 *
 * @module
 */

export * from "./measure_jobs.ts";
export * from "./simulate_jobs.ts";
