/**
 * Client of workers.
 *
 * @module
 */

export {};
