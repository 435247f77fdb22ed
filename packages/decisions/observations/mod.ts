/**
 * Records of observed host health that differs from the log.
 *
 * @module
 */

export * from "./plan_observations.ts";
