/** Interval of the checks. */
const CHECK_INTERVAL_MS = 200;

/** Delay of a check from which on the process counts as held up. */
const MIN_HELD_UP_MS = 500;

/** Time in which a process did not run its timers. */
export type HeldUp = {
  heldUpMs: number;
  /**
   * Processor time that the process used meanwhile. With little of it, the
   * process was paused or got no processor time; otherwise it was busy.
   */
  usedCpuMs: number;
};

/**
 * Watches for times in which this process does not run its timers, as it is
 * paused, busy or short of processor time. Other members see only that it does
 * not answer.
 *
 * @example
 * ```ts
 * watchHeldUp((heldUp) => events.log("processHeldUp", heldUp));
 * ```
 */
export function watchHeldUp(onHeldUp: (heldUp: HeldUp) => void): void {
  let checkedAtMs = performance.now();
  let usage = process.cpuUsage();
  const timer = setInterval(() => {
    const nowMs = performance.now();
    const heldUpMs = nowMs - checkedAtMs - CHECK_INTERVAL_MS;
    const { user, system } = process.cpuUsage(usage);
    if (heldUpMs >= MIN_HELD_UP_MS) {
      const usedCpuMs = Math.round((user + system) / 1_000);
      onHeldUp({ heldUpMs: Math.round(heldUpMs), usedCpuMs });
    }
    checkedAtMs = nowMs;
    usage = process.cpuUsage();
  }, CHECK_INTERVAL_MS);
  timer.unref();
}
