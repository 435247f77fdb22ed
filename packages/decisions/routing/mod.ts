/**
 * Choice of the executor for a request, and ejection of outliers.
 *
 * @module
 */

export * from "./choose_host.ts";
export * from "./eject_outliers.ts";
export * from "./executor_health.ts";
export * from "./record_result.ts";
