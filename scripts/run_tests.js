// Runs the tests of jest whose paths match the patterns in the arguments.
import { runCLI } from "jest";
import { readFileSync } from "node:fs";
import { fileURLToPath } from "node:url";

const rootFolder = fileURLToPath(new URL("..", import.meta.url));

/** Files of tests that load the machine, which run one at a time at the end. */
const CROWD_FILES = "_crowds_test\\.ts$";

/** Reads the full names of the tests that KNOWN-RED.txt allows to fail. */
function readKnownRed() {
  try {
    const text = readFileSync(new URL("../KNOWN-RED.txt", import.meta.url));
    return text.toString().split("\n")
      .filter((line) => line.startsWith("test: "))
      .map((line) => line.slice("test: ".length).trim());
  } catch {
    return [];
  }
}

/** Runs the matching tests with jest and returns its results. */
async function runTests(options) {
  const args = { $0: "jest", passWithNoTests: true, ...options };
  const { results } = await runCLI(args, [rootFolder]);
  return results;
}

/**
 * Runs jest, twice where tests with crowds of clients match. Exits with 0 if
 * at least one test ran and every failure is listed in KNOWN-RED.txt.
 */
async function main() {
  const patterns = process.argv.slice(2);
  const runs = [
    await runTests({ _: patterns, testPathIgnorePatterns: [CROWD_FILES] }),
    await runTests({
      _: patterns,
      testMatch: ["<rootDir>/platform/**/*_crowds_test.ts"],
      maxWorkers: 1,
    }),
  ];
  const sum = (count) => runs.reduce((total, run) => total + count(run), 0);
  const knownFailures = new Set(readKnownRed());
  const failed = runs.flatMap(({ testResults }) => testResults)
    .flatMap((suite) => suite.testResults)
    .filter((test) => test.status === "failed")
    .map((test) => test.fullName);
  const unexpected = failed.filter((name) => !knownFailures.has(name));
  for (const name of failed.filter((name) => knownFailures.has(name))) {
    console.log(`KNOWN-RED: ${name}`);
  }
  const brokenSuites = sum((run) => run.numRuntimeErrorTestSuites);
  const failures = unexpected.length + brokenSuites;
  console.log(`${sum((run) => run.numPassedTests)} passed, ${failures} failed`);
  const hasRun = sum((run) => run.numTotalTests) > 0;
  const wasInterrupted = runs.some((run) => run.wasInterrupted);
  process.exit(failures === 0 && hasRun && !wasInterrupted ? 0 : 1);
}

await main();
