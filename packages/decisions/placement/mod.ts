/**
 * Placement of jobs on workers.
 *
 * @module
 */

export * from "./find_placement_blocker.ts";
export * from "./job_control.ts";
export * from "./job_control_options.ts";
export * from "./job_observations.ts";
export * from "./job_plan.ts";
export * from "./job_size.ts";
export * from "./plan_jobs.ts";
export * from "./task_lease.ts";
export * from "./worker_call.ts";
export * from "./worker_failures.ts";
