/**
 * Reads of the configuration beside its regular ones, for calls that would be
 * refused otherwise. Answers keys that were just added, and members that wake
 * from a pause with an old configuration.
 *
 * @module
 */

import type { HeldConfiguration } from "./held_configuration.ts";

/** Age up to which the regular reads show that nothing newer exists. */
const CURRENT_AGE_MS = 1_000;

/** Shortest time between two reads, so that refused calls cost no more. */
const MIN_INTERVAL_MS = 500;

/** Longest wait of a call for a read. */
const MAX_WAIT_MS = 300;

/**
 * Creates a function that reads the configuration for a call that would be
 * refused, if this member may be behind. Concurrent calls share a read.
 *
 * @returns a function that returns whether the call should be decided anew
 *
 * @example
 * ```ts
 * const refresh = createConfigurationRefresh(held, { read });
 * if (await refresh()) decision = authorizeCall(held.current()!, call);
 * ```
 */
export function createConfigurationRefresh(
  held: Pick<HeldConfiguration, "ageMs">,
  { read }: { read(): Promise<void> },
): () => Promise<boolean> {
  let reading: Promise<void> | undefined;
  let startedAtMs = -Infinity;

  const start = () => {
    startedAtMs = performance.now();
    reading = read().finally(() => reading = undefined);
  };

  return async () => {
    if (held.ageMs() < CURRENT_AGE_MS) return false;
    const isDue = performance.now() - startedAtMs >= MIN_INTERVAL_MS;
    if (reading === undefined && isDue) start();
    if (reading === undefined) return false;
    await waitAtMost(reading, MAX_WAIT_MS);
    return true;
  };
}

/** Waits for a promise, but not longer than a time. */
async function waitAtMost(promise: Promise<void>, ms: number): Promise<void> {
  let timer: NodeJS.Timeout | undefined;
  const timeout = new Promise<void>((resolve) => {
    timer = setTimeout(resolve, ms);
  });
  await Promise.race([promise, timeout]);
  clearTimeout(timer);
}
