import { readFileSync } from "node:fs";

/** What the kernel counted for one process since its start. */
export type ProcessUsage = {
  cpuMs: number;
  /** Bytes read and written, which are those of sockets in a daemon. */
  bytes: number;
  residentMb: number;
};

/** Milliseconds of one clock tick; Linux reports 100 ticks a second. */
const TICK_MS = 10;

/**
 * Reads the usage of a process from `/proc`. A daemon uses no disk, so that
 * nearly all of its reads and writes are those of connections; its log lines
 * are included.
 *
 * @throws {Error} If the process has ended.
 *
 * @example
 * ```ts
 * const { cpuMs } = readProcessUsage(child.pid);
 * ```
 */
export function readProcessUsage(pid: number): ProcessUsage {
  const read = (file: string) => readFileSync(`/proc/${pid}/${file}`, "utf8");
  const stat = read("stat");
  // The name in parentheses may contain spaces; user time is field 14.
  const fields = stat.slice(stat.lastIndexOf(")") + 2).split(" ");
  const ticks = Number(fields[11]) + Number(fields[12]);
  const io = read("io");
  return {
    cpuMs: ticks * TICK_MS,
    bytes: numberAfter(io, "rchar") + numberAfter(io, "wchar"),
    residentMb: numberAfter(read("status"), "VmRSS") / 1_024,
  };
}

function numberAfter(text: string, name: string): number {
  return Number(new RegExp(`^${name}:\\s+(\\d+)`, "m").exec(text)?.[1]);
}
