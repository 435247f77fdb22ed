/**
 * Measures of simulated and real fleets.
 *
 * @module
 */

export * from "./format_rows.ts";
export * from "./measure_row.ts";
export * from "./measures.ts";
