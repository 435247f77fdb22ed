/** Label value that stands for all values outside the bound. */
export const OTHER_LABEL = "other";

/** Bounded set of label values. */
export type LabelAllowlist = {
  /** Admits values until the bound is reached. */
  allow(values: Iterable<string>): void;
  /** Returns an admitted value as it is and any other one as `other`. */
  label(value: string): string;
};

/**
 * Creates a bounded set of label values, so that names that callers send can't
 * grow the number of time series.
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
  const admitted = new Set<string>();
  return {
    allow(values) {
      for (const value of values) {
        if (admitted.size >= options.maxValues) return;
        admitted.add(value);
      }
    },
    label(value) {
      return admitted.has(value) ? value : OTHER_LABEL;
    },
  };
}
