import type { RecordOutcome } from "../record_outcome.ts";

/** Outcome of a record that took effect. */
export const APPLIED: RecordOutcome = { type: "applied" };

/** Returns the outcome of a record whose precondition does not hold. */
export function refuse(reason: string): RecordOutcome {
  return { type: "refused", reason };
}

/** Returns an own property; names such as `constructor` are legal. */
export function getOwn<Value>(
  dictionary: Record<string, Value>,
  name: string,
): Value | undefined {
  const value = dictionary[name];
  // Only names of the prototype need the second lookup.
  return value === undefined || name in Object.prototype &&
      !Object.hasOwn(dictionary, name)
    ? undefined
    : value;
}
