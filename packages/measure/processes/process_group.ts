import { type ChildProcess, spawn } from "node:child_process";
import { once } from "node:events";
import { createWriteStream, readFileSync } from "node:fs";
import { join } from "node:path";
import { fileURLToPath } from "node:url";

/** Processes that a measurement or the demo started. */
export type ProcessGroup = {
  /** Starts a program of `dist/`; its output goes to a file of its name. */
  start(name: string, program: string, args: readonly string[]): ChildProcess;
  find(name: string): ChildProcess | undefined;
  /** Ends a process without notice. */
  kill(name: string): void;
  /** Names of processes that ended without being asked to. */
  crashed(): string[];
  /** Ends every process of the group. */
  stop(): Promise<void>;
};

/** Time in milliseconds that a process gets to end by itself. */
const STOP_MS = 3_000;

/** Folder of the built programs, which holds the running one too. */
const DIST = fileURLToPath(new URL(".", import.meta.url));

/**
 * Creates a group of processes whose output is written below a folder.
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
        [...optionsOf(program), join(DIST, `${program}.js`), ...args],
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

/** Options of Node.js in the first line of a program. */
function optionsOf(program: string): string[] {
  const [first = ""] = readFileSync(join(DIST, `${program}.js`), "utf8")
    .split("\n", 1);
  return first.split(" ").filter((word) => word.startsWith("--"));
}

async function stopProcess(child: ChildProcess): Promise<void> {
  if (child.exitCode !== null || child.signalCode !== null) return;
  const exited = once(child, "exit");
  // A paused process takes no other signal before it goes on.
  child.kill("SIGCONT");
  child.kill("SIGTERM");
  const timer = setTimeout(() => child.kill("SIGKILL"), STOP_MS);
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
