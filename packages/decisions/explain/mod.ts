/**
 * Why a host, job, wave or service is as it is.
 *
 * @module
 */

export * from "./explain_host.ts";
export * from "./explain_job.ts";
export * from "./explain_service.ts";
export * from "./explain_wave.ts";
export * from "./explanation.ts";
