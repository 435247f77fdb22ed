/**
 * Growth of state, messages and times with the size of a fleet.
 *
 * @module
 */

export * from "./fit_line.ts";
export * from "./measure_slopes.ts";
