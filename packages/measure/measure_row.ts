/** One measured value. */
export type MeasureRow = {
  measure: string;
  deployment: string;
  /** `chosen`, `baseline:NAME` or `bound`. */
  policy: string;
  value: number;
  unit: string;
};

/** Measure that computes its rows; it returns the same rows on every run. */
export type Measure = () => MeasureRow[] | Promise<MeasureRow[]>;
