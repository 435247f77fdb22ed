// Runs the tests of jest whose paths match the patterns in the arguments.
import { runCLI } from "jest";
import { readFileSync } from "node:fs";
import { fileURLToPath } from "node:url";

const rootFolder = fileURLToPath(new URL("..", import.meta.url));

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

/**
 * Runs jest. Exits with 0 if at least one test ran and every failure is listed
 * in KNOWN-RED.txt.
 */
async function main() {
  const patterns = process.argv.slice(2);
  const { results } = await runCLI({ _: patterns, $0: "jest" }, [rootFolder]);
  const knownFailures = new Set(readKnownRed());
  const failed = results.testResults.flatMap((suite) => suite.testResults)
    .filter((test) => test.status === "failed")
    .map((test) => test.fullName);
  const unexpected = failed.filter((name) => !knownFailures.has(name));
  for (const name of failed.filter((name) => knownFailures.has(name))) {
    console.log(`KNOWN-RED: ${name}`);
  }
  const brokenSuites = results.numRuntimeErrorTestSuites;
  const failures = unexpected.length + brokenSuites;
  console.log(`${results.numPassedTests} passed, ${failures} failed`);
  const hasRun = results.numTotalTests > 0;
  process.exit(failures === 0 && hasRun && !results.wasInterrupted ? 0 : 1);
}

await main();
