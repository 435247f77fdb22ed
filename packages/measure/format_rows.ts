/**
 * Output formats of measured values.
 *
 * @module
 */

import type { MeasureRow } from "./measure_row.ts";

const COLUMNS: readonly string[] = [
  "measure",
  "deployment",
  "policy",
  "value",
  "unit",
];

/**
 * Formats rows as a table with aligned columns, one line per row.
 *
 * @example
 * ```ts
 * console.log(formatTable(rows));
 * ```
 */
export function formatTable(rows: readonly MeasureRow[]): string {
  const lines = [
    COLUMNS,
    ...rows.map((row) => [
      row.measure,
      row.deployment,
      row.policy,
      String(row.value),
      row.unit,
    ]),
  ];
  const widths = COLUMNS.map((_, column) =>
    Math.max(...lines.map((line) => line[column]!.length))
  );
  return lines.map((line) =>
    line.map((cell, column) => cell.padEnd(widths[column]!)).join("  ")
      .trimEnd()
  ).join("\n");
}

/**
 * Formats a row as a JSON object on one line.
 *
 * @example
 * ```ts
 * console.log(formatJson(row));
 * ```
 */
export function formatJson(row: MeasureRow): string {
  const { measure, deployment, policy, value, unit } = row;
  return JSON.stringify({ measure, deployment, policy, value, unit });
}
