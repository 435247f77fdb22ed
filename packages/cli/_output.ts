import type { OperatorClientError } from "@lagoonloom/operators";
import type { CommandContext } from "./command_context.ts";

const COLOURS = { red: 31, green: 32, yellow: 33 };

/** Colours a text if the output is a terminal. */
export function paint(
  text: string,
  colour: keyof typeof COLOURS,
  { useColour }: Pick<CommandContext, "useColour">,
) {
  return useColour ? `\u001b[${COLOURS[colour]}m${text}\u001b[0m` : text;
}

/** Aligns the cells of a table in columns; the first row is the heading. */
export function formatTable(rows: string[][]) {
  const widths = rows[0]!.map((_, i) =>
    Math.max(...rows.map((row) => row[i]?.length ?? 0))
  );
  return rows.map((row) =>
    row.map((cell, i) => cell.padEnd(widths[i]!)).join("  ").trimEnd()
  );
}

/** Describes why a daemon gave no result, in one sentence. */
export function describeClientError(error: OperatorClientError) {
  if (error.type !== "refused") return error.message;
  const { title, problems = [] } = error.refusal;
  const details = problems.map(({ field, message }) => `${field}: ${message}`);
  return [title, ...details].join(" ");
}

/** Formats a log time in milliseconds as a date and time in UTC. */
export function formatTime(timeMs: number) {
  const date = new Date(timeMs);
  return Number.isNaN(date.valueOf()) ? String(timeMs) : date.toISOString();
}
