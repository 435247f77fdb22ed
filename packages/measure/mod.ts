/**
 * Measurements, benchmark and demo.
 *
 * @module
 */

export {};
