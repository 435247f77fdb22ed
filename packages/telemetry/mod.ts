/**
 * Numbered log events and metrics.
 *
 * @module
 */

export {};
