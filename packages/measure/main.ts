/**
 * Command that runs measures and prints their rows.
 *
 * @module
 */

import { cac } from "cac";
import { formatJson, formatTable } from "./format_rows.ts";
import type { MeasureRow } from "./measure_row.ts";
import { MEASURES, PROCESS_MEASURES } from "./measures.ts";
import { measureSlopes } from "./slopes/mod.ts";

/** Runs the measures that the arguments select and prints their rows. */
async function main(): Promise<void> {
  const cli = cac("measure");
  cli.option("--json", "Print one JSON object per line");
  cli.option("--only <name>", "Run only this measure; may be repeated");
  cli.option("--slopes", "Measure state and time at several sizes");
  cli.help();
  const { options } = cli.parse();
  if (options.help) return;
  const only = [options.only ?? []].flat().map(String);
  const measures = { ...MEASURES, ...PROCESS_MEASURES };
  const unknown = only.filter((name) => measures[name] === undefined);
  if (unknown.length > 0) {
    const known = Object.keys(measures).join(", ");
    console.error(`Unknown measure ${unknown.join(", ")}; expected ${known}.`);
    process.exitCode = 2;
    return;
  }
  const selected = Object.entries(only.length === 0 ? MEASURES : measures)
    .filter(([name]) => only.length === 0 || only.includes(name))
    .map(([, measure]) => measure);
  const rows: MeasureRow[] = [];
  for (const measure of options.slopes ? [measureSlopes] : selected) {
    for (const row of await measure()) {
      if (options.json) console.log(formatJson(row));
      else rows.push(row);
    }
  }
  if (!options.json) console.log(formatTable(rows));
}

await main();
