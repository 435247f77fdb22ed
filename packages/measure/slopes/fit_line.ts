/**
 * Linear regression.
 *
 * @module
 */

/** Line fitted to points. */
export type FittedLine = {
  intercept: number;
  slope: number;
  /** Coefficient of determination: the share of variance explained. */
  r2: number;
};

/**
 * Fits a line to points `[x, y]` by least squares.
 *
 * @example
 * ```ts
 * const { slope } = fitLine([[1, 2], [2, 4], [3, 6]]);
 * ```
 */
export function fitLine(
  points: readonly (readonly [number, number])[],
): FittedLine {
  const count = points.length;
  const mean = (index: 0 | 1) =>
    points.reduce((sum, point) => sum + point[index], 0) / count;
  const [meanX, meanY] = [mean(0), mean(1)];
  let covariance = 0;
  let varianceX = 0;
  let varianceY = 0;
  for (const [x, y] of points) {
    covariance += (x - meanX) * (y - meanY);
    varianceX += (x - meanX) ** 2;
    varianceY += (y - meanY) ** 2;
  }
  const slope = covariance / varianceX;
  const r2 = varianceY === 0 ? 1 : covariance ** 2 / (varianceX * varianceY);
  return { intercept: meanY - slope * meanX, slope, r2 };
}
