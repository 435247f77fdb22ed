/**
 * Output of the processes of a test, printed if the test does not pass.
 *
 * @module
 */

import type { ChildProcess } from "node:child_process";

/** Most characters of the output of one process that are kept. */
const MAX_KEPT_CHARS = 100_000;

/** Output of the processes of one test at a time. */
export type ProcessOutput = {
  /** Keeps the output of a process, whose stdout and stderr are pipes. */
  record(name: string, child: ChildProcess): void;
  /** Wraps the body of a test to learn whether it passes. */
  watch(run: () => Promise<void>): () => Promise<void>;
  /**
   * Prints the output unless the watched test has passed, also if it timed out,
   * and drops it. To be called after each test, once its processes have ended.
   */
  finish(): void;
};

/**
 * Creates the store of the output of a test's processes.
 *
 * @example
 * ```ts
 * const output = createProcessOutput();
 * afterEach(() => output.finish());
 * test("starts", output.watch(async () => {
 *   output.record("first", spawn("node", ["first.js"]));
 * }));
 * ```
 */
export function createProcessOutput(
  print: (text: string) => void = console.log,
): ProcessOutput {
  const texts = new Map<string, string>();
  let hasPassed = true;
  return {
    record(name, child) {
      const append = (text: string) => {
        const kept = (texts.get(name) ?? "") + text;
        texts.set(name, kept.slice(-MAX_KEPT_CHARS));
      };
      append(`Started as process ${child.pid}.\n`);
      child.stdout?.on("data", (data) => append(String(data)));
      child.stderr?.on("data", (data) => append(String(data)));
      child.once("exit", (code, signal) => {
        const time = new Date().toISOString();
        append(`${time} Ended with code ${code}, signal ${signal}.\n`);
      });
    },
    watch: (run) => async () => {
      hasPassed = false;
      await run();
      hasPassed = true;
    },
    finish() {
      if (!hasPassed) {
        for (const [name, text] of texts) print(`Output of ${name}:\n${text}`);
      }
      hasPassed = true;
      texts.clear();
    },
  };
}
