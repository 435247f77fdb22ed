/**
 * Values that a measure returns.
 *
 * @module
 */

/** One measured value. */
export type MeasureRow = {
  measure: string;
  deployment: string;
  /**
   * `chosen` for the policy of this project, `baseline:NAME` for one to compare
   * it with, or `bound` for the limit of the value.
   */
  policy: string;
  value: number;
  unit: string;
};

/**
 * Computes the rows of a measure. Simulations return the same rows on every
 * run; times and values of real processes differ.
 */
export type Measure = () => MeasureRow[] | Promise<MeasureRow[]>;
