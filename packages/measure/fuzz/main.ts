/**
 * Program that checks the fuzz properties with a seed and a number of inputs.
 *
 * @module
 */

import { parseArgs } from "node:util";
import { PROPERTIES } from "./properties.ts";

const { values } = parseArgs({
  options: {
    seed: { type: "string", default: "1" },
    count: { type: "string", default: "1000" },
    only: { type: "string" },
  },
});
const run = { seed: Number(values.seed), numRuns: Number(values.count) };
const chosen = PROPERTIES.filter(({ name }) =>
  values.only === undefined || name === values.only
);
if (!Number.isInteger(run.seed) || !(run.numRuns > 0) || chosen.length === 0) {
  const names = PROPERTIES.map(({ name }) => name).join(", ");
  console.error("Usage: fuzz [--seed N] [--count N] [--only NAME]");
  console.error(`Names: ${names}.`);
  process.exit(2);
}
for (const { name, check } of chosen) {
  try {
    await check(run);
    console.log(`${name}: ${run.numRuns} inputs, seed ${run.seed}, ok`);
  } catch (error) {
    const { message, cause } = error as Error;
    console.error(`${name}: ${message}\n${String(cause)}`);
    process.exitCode = 1;
  }
}
