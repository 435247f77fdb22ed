import type { MeasureRow } from "../measure_row.ts";
import { fitLine } from "./fit_line.ts";
import { SCALING_CASES, type ScalingCase } from "./scaling_cases.ts";

/**
 * Measures each scaling case at its sizes. The rows hold the values, the slope
 * of a line fitted to them, its coefficient of determination and its value at
 * the target size. Times differ from run to run.
 *
 * @example
 * ```ts
 * const rows = measureSlopes();
 * ```
 */
export function measureSlopes(): MeasureRow[] {
  return SCALING_CASES.flatMap(measureCase);
}

function measureCase(scalingCase: ScalingCase): MeasureRow[] {
  const { name, sizeUnit, unit, sizes, targetSize, measure } = scalingCase;
  // Warms up the just-in-time compiler; the value is not used.
  measure(sizes[0]!);
  const points = sizes.map((size) => [size, measure(size)] as const);
  const { intercept, slope, r2 } = fitLine(points);
  const row = (policy: string, value: number, rowUnit: string) => ({
    measure: `slope-${name}`,
    deployment: "two-year",
    policy,
    value: Number(value.toPrecision(4)),
    unit: rowUnit,
  });
  return [
    ...points.map(([size, value]) => row(`at:${size}`, value, unit)),
    row("slope", slope, `${unit}/${sizeUnit}`),
    row("fit", r2, "r2"),
    row(`fitted:${targetSize}`, intercept + slope * targetSize, unit),
  ];
}
