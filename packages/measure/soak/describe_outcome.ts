/**
 * Text about broken promises of a soak test, with the history of each task.
 *
 * @module
 */

import type { SoakOutcome } from "./run_soak.ts";

/** Returns the broken promises with their histories, if there are any. */
export function describeOutcome({ seed, violations, world }: SoakOutcome) {
  return violations.map(({ rule, task, text, atMs }) => {
    const history = world.history.filter((line) =>
      line.includes(task) ||
      /FAULT|CALM|LEASE|owner \d+$|again|gone|moved/.test(line)
    );
    return [
      `seed ${seed}: ${rule} at ${(atMs / 1_000).toFixed(3)}: ${task} ${text}`,
      ...history,
    ].join("\n  ");
  }).join("\n\n");
}
