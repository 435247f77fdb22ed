/**
 * Updates the health of an executor by the results of its requests.
 *
 * @module
 */

import {
  type ExecutorHealth,
  FIRST_PROBE_DELAY_MS,
  MAX_PROBE_DELAY_MS,
} from "./executor_health.ts";

/** Result of one request at an executor. */
export type HostResult = {
  result: "succeeded" | "failed" | "abandoned";
  /** Time in milliseconds that it ran, or until it was abandoned. */
  runMs: number;
  /** Mean run time of the service in milliseconds. */
  expectedRunMs: number;
  nowMs: number;
  /** Whether it was the probe of an ejected executor. */
  isProbe: boolean;
};

/** Weight of the newest sample in the moving averages. */
const NEWEST_WEIGHT = 0.15;

/** Multiple of the mean run time beyond which a probe has failed. */
const SLOW_PROBE_RATIO = 4;

/**
 * Adds the result of one request to the health of an executor. A failure does
 * not count for its run time, so that an executor that fails fast does not seem
 * fast. The time until a request was abandoned counts if it raises the average.
 *
 * @example
 * ```ts
 * recordResult(health, {
 *   result: "failed",
 *   runMs: 3,
 *   expectedRunMs: 80,
 *   nowMs: performance.now(),
 *   isProbe: false,
 * });
 * ```
 */
export function recordResult(health: ExecutorHealth, end: HostResult): void {
  const ratio = end.runMs / Math.max(1, end.expectedRunMs);
  if (end.isProbe) endProbe(health, end);
  // Requests that started before the ejection say nothing about the time since.
  if (end.isProbe || health.state !== "in-use") return;
  health.samples++;
  const weight = Math.max(NEWEST_WEIGHT, 1 / health.samples);
  const failed = end.result === "failed" ? 1 : 0;
  health.failureRate += weight * (failed - health.failureRate);
  const isSpeedSample = end.result === "succeeded" ||
    (end.result === "abandoned" && ratio > health.relativeRunTime);
  if (isSpeedSample) {
    health.relativeRunTime += weight * (ratio - health.relativeRunTime);
  }
}

/** Returns a probed executor to use, or ejects it again for twice as long. */
function endProbe(health: ExecutorHealth, end: HostResult): void {
  const ratio = end.runMs / Math.max(1, end.expectedRunMs);
  if (end.result === "succeeded" && ratio <= SLOW_PROBE_RATIO) {
    health.state = "in-use";
    health.samples = 0;
    health.failureRate = 0;
    health.relativeRunTime = 1;
    // The delay is halved, not reset, so that an executor that alternates
    // between success and failure stays ejected for longer each time.
    health.probeDelayMs = Math.max(
      FIRST_PROBE_DELAY_MS,
      health.probeDelayMs / 2,
    );
    return;
  }
  health.state = "ejected";
  health.probeDelayMs = Math.min(MAX_PROBE_DELAY_MS, health.probeDelayMs * 2);
  health.probeAtMs = end.nowMs + health.probeDelayMs;
}
