/**
 * Client of the platform's log and host list.
 *
 * @module
 */

export {};
