/**
 * The daemon of an entry host.
 *
 * @module
 */

export {};
