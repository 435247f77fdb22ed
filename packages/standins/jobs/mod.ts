/**
 * Simulation of workers, deciders and the log, for tests and measures of jobs.
 *
 * @module
 */

export * from "./create_job_set.ts";
export * from "./job_checker.ts";
export * from "./job_model.ts";
export * from "./model_decider.ts";
