/**
 * Starts and stops the programs of `dist/` as child processes.
 *
 * @module
 */

import { type ChildProcess, spawn } from "node:child_process";
import { once } from "node:events";
import { createWriteStream, readFileSync } from "node:fs";
import { join } from "node:path";
import { fileURLToPath } from "node:url";

/** Named child processes of a measurement or the demo. */
export type ProcessGroup = {
  /** Starts a program of `dist/`; its output goes to `NAME.log`. */
  start(name: string, program: string, args: readonly string[]): ChildProcess;
  find(name: string): ChildProcess | undefined;
  /** Ends a process with SIGKILL. */
  kill(name: string): void;
  /** Returns the names of the processes that ended by themselves. */
  crashed(): string[];
  /** Ends all processes: with SIGTERM, then with SIGKILL. */
  stop(): Promise<void>;
};

/** Time in milliseconds after SIGTERM until a process gets SIGKILL. */
const STOP_TIMEOUT_MS = 3_000;

/** Folder of the built programs; this module is bundled into one of them. */
const DIST = fileURLToPath(new URL(".", import.meta.url));

/**
 * Creates a group of processes whose output is written to files in a folder.
 *
 * @example
 * ```ts
 * const group = createProcessGroup("/tmp/run");
 * group.start("log", "standins", ["--log", "127.0.0.1:25100"]);
 * await group.stop();
 * ```
 */
export function createProcessGroup(folder: string): ProcessGroup {
  const children = new Map<string, ChildProcess>();
  const crashed = new Set<string>();
  let isStopping = false;
  return {
    start(name, program, args) {
      const child = spawn(
        process.execPath,
        [...readNodeOptions(program), join(DIST, `${program}.js`), ...args],
        { stdio: ["ignore", "pipe", "pipe"] },
      );
      const output = createWriteStream(join(folder, `${name}.log`), {
        flags: "a",
      });
      child.stdout.pipe(output, { end: false });
      child.stderr.pipe(output, { end: false });
      children.set(name, child);
      child.once("exit", () => {
        if (!isStopping && children.get(name) === child) crashed.add(name);
      });
      return child;
    },
    find: (name) => children.get(name),
    kill(name) {
      const child = children.get(name);
      children.delete(name);
      child?.kill("SIGKILL");
    },
    crashed: () => [...crashed],
    async stop() {
      isStopping = true;
      await Promise.all([...children.values()].map(stopProcess));
    },
  };
}

/** Reads the options of Node.js from the first line of a program. */
function readNodeOptions(program: string): string[] {
  const [first = ""] = readFileSync(join(DIST, `${program}.js`), "utf8")
    .split("\n", 1);
  return first.split(" ").filter((word) => word.startsWith("--"));
}

async function stopProcess(child: ChildProcess): Promise<void> {
  if (child.exitCode !== null || child.signalCode !== null) return;
  const exited = once(child, "exit");
  // A stopped process handles SIGTERM only after SIGCONT.
  child.kill("SIGCONT");
  child.kill("SIGTERM");
  const timer = setTimeout(() => child.kill("SIGKILL"), STOP_TIMEOUT_MS);
  await exited;
  clearTimeout(timer);
}

/**
 * Runs a program of `dist/` to its end and returns its output.
 *
 * @example
 * ```ts
 * const { code } = await runProgram("lagoonloom", ["check", "set.ini"]);
 * ```
 */
export async function runProgram(
  program: string,
  args: readonly string[],
): Promise<{ code: number | null; output: string }> {
  const child = spawn(
    process.execPath,
    [join(DIST, `${program}.js`), ...args],
    { stdio: ["ignore", "pipe", "pipe"] },
  );
  let output = "";
  child.stdout.on("data", (chunk) => output += String(chunk));
  child.stderr.on("data", (chunk) => output += String(chunk));
  const [code] = await once(child, "close") as [number | null];
  return { code, output };
}
