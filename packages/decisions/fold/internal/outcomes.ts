/**
 * Outcomes of records, and look-ups in objects whose keys are names.
 *
 * @module
 */

import type { RecordOutcome } from "../recent_outcome.ts";

/** Outcome of a record that took effect. */
export const APPLIED: RecordOutcome = { type: "applied" };

/** Returns the outcome of a record that has no effect, with the reason. */
export function refuse(reason: string): RecordOutcome {
  return { type: "refused", reason };
}

/**
 * Returns an own property, or undefined. A plain look-up would return inherited
 * properties for legal names such as `constructor`.
 */
export function getOwn<Value>(
  dictionary: Record<string, Value>,
  name: string,
): Value | undefined {
  const value = dictionary[name];
  // Looks up own properties only for names of the prototype, to save time.
  return value === undefined || name in Object.prototype &&
      !Object.hasOwn(dictionary, name)
    ? undefined
    : value;
}
