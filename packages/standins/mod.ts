/**
 * Small stand-ins of outside systems for tests.
 *
 * @module
 */

export {};
