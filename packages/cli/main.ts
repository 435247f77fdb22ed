import { randomUUID } from "node:crypto";
import { readFile } from "node:fs/promises";
import { setTimeout as wait } from "node:timers/promises";
import { runProgram } from "./program.ts";

process.exitCode = await runProgram(process.argv.slice(2), {
  print: (line) => process.stdout.write(`${line}\n`),
  printError: (line) => process.stderr.write(`${line}\n`),
  readFile: (path) => readFile(path, "utf8"),
  createId: randomUUID,
  wait,
  variables: process.env,
  isTerminal: process.stdout.isTTY,
});
