import type { MeasureRow } from "../measure_row.ts";
import { fitLine } from "./fit_line.ts";
import { SLOPE_PROBES, type SlopeProbe } from "./slope_probes.ts";

/**
 * Measures each probe at its sizes and returns the values, the fitted slope and
 * the value at the size to design for. Times differ from run to run.
 *
 * @example
 * ```ts
 * const rows = measureSlopes();
 * ```
 */
export function measureSlopes(): MeasureRow[] {
  return SLOPE_PROBES.flatMap(measureProbe);
}

function measureProbe(probe: SlopeProbe): MeasureRow[] {
  const { name, per, unit, sizes, target, measure } = probe;
  // The first run lets the compiler optimize, and is not counted.
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
    row("slope", slope, `${unit}/${per}`),
    row("fit", r2, "r2"),
    row(`fitted:${target}`, intercept + slope * target, unit),
  ];
}
