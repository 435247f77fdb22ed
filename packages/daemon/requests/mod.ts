/**
 * Path of requests through an entry host.
 *
 * @module
 */

export * from "./create_request_path.ts";
export * from "./dependencies.ts";
export * from "./forwarded.ts";
export * from "./held_outcome.ts";
