/**
 * Resources that a process uses, as Linux counts them.
 *
 * @module
 */

import { readFileSync } from "node:fs";

/** Resources that a process has used since its start. */
export type ProcessUsage = {
  /** Processor time in user and kernel mode in milliseconds. */
  cpuMs: number;
  /** Bytes that it has read and written, including those of sockets. */
  ioBytes: number;
  /** Resident memory now in MB. */
  residentMb: number;
};

/** Length of a clock tick; Linux reports 100 ticks a second. */
const TICK_MS = 10;

/**
 * Reads the usage of a process from `/proc`. Since a daemon uses no disk,
 * nearly all bytes that it reads and writes are those of its connections. Its
 * log lines are included.
 *
 * @throws {Error} If there is no such process.
 *
 * @example
 * ```ts
 * const { cpuMs } = readProcessUsage(child.pid);
 * ```
 */
export function readProcessUsage(pid: number): ProcessUsage {
  const read = (file: string) => readFileSync(`/proc/${pid}/${file}`, "utf8");
  const stat = read("stat");
  // The name in parentheses, field 2, may contain spaces. The fields after it
  // begin with field 3; fields 14 and 15 are user and kernel time.
  const fields = stat.slice(stat.lastIndexOf(")") + 2).split(" ");
  const ticks = Number(fields[11]) + Number(fields[12]);
  const io = read("io");
  return {
    cpuMs: ticks * TICK_MS,
    ioBytes: readField(io, "rchar") + readField(io, "wchar"),
    residentMb: readField(read("status"), "VmRSS") / 1_024,
  };
}

/** Returns the number after the name of a line. */
function readField(text: string, name: string): number {
  return Number(new RegExp(`^${name}:\\s+(\\d+)`, "m").exec(text)?.[1]);
}
