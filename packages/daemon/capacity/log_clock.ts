import type { ControlFold } from "../control_fold.ts";

/**
 * Creates a clock of log time: the newest folded time plus the time since. It
 * runs behind while a daemon catches up, so whoever acts on it also has to know
 * that the log was read recently.
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
