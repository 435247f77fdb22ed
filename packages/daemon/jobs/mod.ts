/**
 * Loop that places jobs on workers, and the operators' requests on jobs.
 *
 * @module
 */

export * from "./create_job_loop.ts";
export * from "./job_requests.ts";
