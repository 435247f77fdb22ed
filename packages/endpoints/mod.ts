/**
 * Client of executors.
 *
 * @module
 */

export {};
