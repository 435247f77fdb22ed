/**
 * Entry point of the operators' command line.
 *
 * @module
 */

import { randomUUID } from "node:crypto";
import { readFile } from "node:fs/promises";
import { setTimeout as wait } from "node:timers/promises";
import { runProgram } from "./program.ts";

// A program such as head may close the pipe before everything is written.
process.stdout.on("error", (error: NodeJS.ErrnoException) => {
  if (error.code !== "EPIPE") throw error;
});

process.exitCode = await runProgram(process.argv.slice(2), {
  print: (line) => process.stdout.write(`${line}\n`),
  printError: (line) => process.stderr.write(`${line}\n`),
  readFile: (path) => readFile(path, "utf8"),
  createId: randomUUID,
  wait,
  variables: process.env,
  isTerminal: process.stdout.isTTY,
});
