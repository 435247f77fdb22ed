/**
 * HTTP server for the callers of services.
 *
 * @module
 */

export * from "./caller_outcome.ts";
export * from "./caller_request.ts";
export * from "./create_caller_app.ts";
export * from "./create_caller_server.ts";
export * from "./problem_details.ts";
