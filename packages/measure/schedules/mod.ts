/**
 * Measures of jobs that run many times.
 *
 * @module
 */

export * from "./measure_schedules.ts";
