import { describe, expect, test } from "@jest/globals";
import { spawn } from "node:child_process";
import { once } from "node:events";
import { createProcessOutput } from "./process_output.ts";

const SCRIPT = "console.log('out'); console.error('err'); process.exit(3)";

/** Watches a test that runs one process, and returns what is printed. */
async function printedBy(endTest: () => Promise<void>): Promise<string[]> {
  const printed: string[] = [];
  const output = createProcessOutput((text) => printed.push(text));
  const run = output.watch(async () => {
    const child = spawn(process.execPath, ["-e", SCRIPT]);
    output.record("first", child);
    await once(child, "close");
    await endTest();
  });
  await run().catch(() => undefined);
  output.finish();
  output.finish();
  return printed;
}

describe("createProcessOutput()", () => {
  // Guards against a failure whose cause is lost with the output.
  test("prints output and exit code once if the test fails", async () => {
    const printed = await printedBy(() => Promise.reject(new Error("failed")));
    expect(printed).toHaveLength(1);
    expect(printed[0]).toMatch(/^Output of first:\nStarted as process \d+\./);
    for (const part of ["out\n", "err\n", "Ended with code 3"]) {
      expect(printed[0]).toContain(part);
    }
  });

  // Guards against output that hides the results of the tests that pass.
  test("prints nothing if the test passes", async () => {
    expect(await printedBy(() => Promise.resolve())).toEqual([]);
  });
});
