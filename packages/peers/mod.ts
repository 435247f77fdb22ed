/**
 * Calls between entry hosts.
 *
 * @module
 */

export {};
