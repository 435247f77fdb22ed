/**
 * Limit on the number of values of a metric label.
 *
 * @module
 */

/** Label value that stands for all values that are not on the list. */
export const OTHER_LABEL = "other";

/** List of the label values that are exported under their own name. */
export type LabelAllowlist = {
  /** Adds values until the list is full; further values are ignored. */
  allow(values: Iterable<string>): void;
  /** Returns a value of the list as it is, and `other` for any other value. */
  label(value: string): string;
};

/**
 * Creates a list of at most `maxValues` label values, so that names that
 * callers send can't increase the number of time series without limit.
 *
 * @example
 * ```ts
 * const services = createLabelAllowlist({ maxValues: 200 });
 * services.allow(["quoting"]);
 * services.label("no-such-service"); // "other"
 * ```
 */
export function createLabelAllowlist(
  options: { maxValues: number },
): LabelAllowlist {
  const allowed = new Set<string>();
  return {
    allow(values) {
      for (const value of values) {
        if (allowed.size >= options.maxValues) return;
        allowed.add(value);
      }
    },
    label(value) {
      return allowed.has(value) ? value : OTHER_LABEL;
    },
  };
}
