/** Options of {@linkcode waitFor}. */
export type WaitOptions = {
  timeoutMs: number;
  /** Description of the condition for the error message. */
  what: string;
  /** Interval between checks in milliseconds; 50 by default. */
  intervalMs?: number;
};

/**
 * Polls a condition until it holds.
 *
 * @throws {Error} If it does not hold before the timeout.
 *
 * @example
 * ```ts
 * await waitFor(isReady, { what: "the daemon", timeoutMs: 5_000 });
 * ```
 */
export async function waitFor(
  condition: () => Promise<boolean> | boolean,
  options: WaitOptions,
): Promise<void> {
  const { timeoutMs, what, intervalMs = 50 } = options;
  const deadlineMs = performance.now() + timeoutMs;
  while (performance.now() < deadlineMs) {
    if (await condition()) return;
    await new Promise((resolve) => setTimeout(resolve, intervalMs));
  }
  throw new Error(`Timed out after ${timeoutMs} ms waiting for ${what}.`);
}
