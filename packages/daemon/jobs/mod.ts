/**
 * The deciders' loop for jobs on workers.
 *
 * @module
 */

export * from "./create_job_loop.ts";
export * from "./job_requests.ts";
