/**
 * HTTP client of executors.
 *
 * @module
 */

export * from "./exchange_result.ts";
export * from "./executor_client.ts";
export * from "./executor_request.ts";
export * from "./memory_budget.ts";
