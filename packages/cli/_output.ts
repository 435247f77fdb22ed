/**
 * Formatting of output for people.
 *
 * @module
 */

import type { OperatorClientError } from "@lagoonloom/operators";
import type { CommandContext } from "./command_context.ts";

const COLOURS = { red: 31, green: 32, yellow: 33 };

/** Adds a colour to a text if the output shows colours. */
export function colourise(
  text: string,
  colour: keyof typeof COLOURS,
  { useColour }: Pick<CommandContext, "useColour">,
) {
  return useColour ? `\u001b[${COLOURS[colour]}m${text}\u001b[0m` : text;
}

/**
 * Formats the rows of a table with aligned columns; the first is the heading.
 */
export function formatTable(rows: string[][]) {
  const widths = rows[0]!.map((_, i) =>
    Math.max(...rows.map((row) => row[i]?.length ?? 0))
  );
  return rows.map((row) =>
    row.map((cell, i) => cell.padEnd(widths[i]!)).join("  ").trimEnd()
  );
}

/** Describes why a request to a daemon has no result, on one line. */
export function describeClientError(error: OperatorClientError) {
  if (error.type !== "refused") return error.message;
  const { title, problems = [] } = error.refusal;
  const details = problems.map(({ field, message }) => `${field}: ${message}`);
  return [title, ...details].join(" ");
}

/** Formats a time in Unix milliseconds as a date and time in UTC. */
export function formatTime(timeMs: number) {
  const date = new Date(timeMs);
  return Number.isNaN(date.valueOf()) ? String(timeMs) : date.toISOString();
}
