/**
 * Routes the requests of callers through an entry host to executors.
 *
 * @module
 */

export * from "./create_request_path.ts";
export * from "./dependencies.ts";
export * from "./forwarded.ts";
export * from "./known_outcome.ts";
