/**
 * HTTP listener and client of operators.
 *
 * @module
 */

export {};
