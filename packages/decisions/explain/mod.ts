/**
 * Explanations of the state of a host, job, service or wave.
 *
 * @module
 */

export * from "./explain_host.ts";
export * from "./explain_job.ts";
export * from "./explain_service.ts";
export * from "./explain_wave.ts";
export * from "./explanation.ts";
