/**
 * Observations of hosts that the log does not know yet.
 *
 * @module
 */

export * from "./plan_observations.ts";
