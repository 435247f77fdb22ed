/**
 * Client of the platform's log and host list.
 *
 * @module
 */

export * from "./append_outcome.ts";
export * from "./backoff.ts";
export * from "./platform_client.ts";
export * from "./read_outcome.ts";
export * from "./tail_stream.ts";
