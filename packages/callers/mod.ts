/**
 * HTTP listener for callers.
 *
 * @module
 */

export {};
