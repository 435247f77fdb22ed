/**
 * Client of workers.
 *
 * @module
 */

export * from "./worker_client.ts";
