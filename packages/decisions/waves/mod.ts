/**
 * Maintenance waves: which hosts are taken out of service next, and when a wave
 * pauses.
 *
 * @module
 */

export * from "./plan_wave.ts";
export * from "./wave_evidence.ts";
export * from "./work_observation.ts";
