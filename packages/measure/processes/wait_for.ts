/** Options of {@linkcode waitFor}. */
export type WaitOptions = {
  timeoutMs: number;
  /** What is waited for, for the error message. */
  what: string;
  intervalMs?: number;
};

/**
 * Waits until a condition holds.
 *
 * @throws {Error} If it does not hold within the time.
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
  const untilMs = performance.now() + timeoutMs;
  while (performance.now() < untilMs) {
    if (await condition()) return;
    await new Promise((resolve) => setTimeout(resolve, intervalMs));
  }
  throw new Error(`Timed out after ${timeoutMs} ms waiting for ${what}.`);
}
