import type { ControlFold } from "../control_fold.ts";

/**
 * Creates a clock that estimates the log's time: the time of the newest folded
 * record plus the time since it was folded. The clock is behind while a daemon
 * catches up, so callers must also check that the log was read recently.
 *
 * @example
 * ```ts
 * const logNowMs = createLogClock(fold);
 * const nowMs = logNowMs();
 * ```
 */
export function createLogClock(fold: ControlFold): () => number {
  let timeMs = 0;
  let updatedAtMs = 0;
  fold.onChange((change) => {
    if (change.type !== "settled" || fold.state().timeMs <= timeMs) return;
    timeMs = fold.state().timeMs;
    updatedAtMs = performance.now();
  });
  return () => Math.round(timeMs + performance.now() - updatedAtMs);
}
