/**
 * Measures of jobs on workers: start of urgent jobs, preemption and decisions.
 *
 * @module
 */

export * from "./measure_jobs.ts";
export * from "./simulate_jobs.ts";
export * from "./measure_jobs_decide_time.ts";
export * from "./measure_placement_round.ts";
