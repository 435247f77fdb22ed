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
export * from "./read_body.ts";
export * from "./limits/chunk_pace.ts";
export * from "./limits/client_guard.ts";
export * from "./limits/client_limits.ts";
export * from "./limits/guarded_server.ts";
