/**
 * History of a job, task, executor, machine or wave from the logs of members.
 *
 * @module
 */

import { z } from "zod";
import { colourise } from "./_output.ts";
import type { CommandContext } from "./command_context.ts";
import { EXIT_CODE, type ExitCode } from "./exit_code.ts";

/** Schema of a line of the log; further fields depend on the event. */
const LogLine = z.looseObject({
  time: z.iso.datetime(),
  /** Number of the event. */
  id: z.string(),
  message: z.string(),
  level: z.string().optional(),
  node: z.string().optional(),
  job: z.string().optional(),
  task: z.string().optional(),
  executor: z.string().optional(),
  machine: z.string().optional(),
  wave: z.number().optional(),
  partition: z.number().optional(),
  reason: z.string().optional(),
});

type LogLine = z.infer<typeof LogLine>;

/** Fields that every line has, which are not shown as details. */
const COMMON_FIELDS = new Set([
  "time",
  "id",
  "message",
  "level",
  "levelId",
  "node",
  "_logMeta",
]);

/**
 * Prints what the logs of all members say about one job, task, executor,
 * machine or wave (`wave.N`), ordered by the time of day of each member. For a
 * job or a task, this includes changes of the owner of its partition and
 * failures of the executors that its tasks were placed on.
 *
 * @example
 * ```ts
 * const exitCode = await traceCommand("5c0e7a21d94b36f8", {
 *   paths: ["members.log"],
 *   context,
 * });
 * ```
 */
export async function traceCommand(
  subject: string,
  { paths, context }: { paths: string[]; context: CommandContext },
): Promise<ExitCode> {
  const lines: LogLine[] = [];
  for (const path of paths) {
    let text: string;
    try {
      text = await context.readFile(path);
    } catch (error) {
      context.printError(`${path} can't be read: ${String(error)}`);
      return EXIT_CODE.usage;
    }
    for (const line of text.split("\n")) lines.push(...parseLine(line));
  }
  const found = selectLines(lines, subject);
  if (found.length === 0) {
    context.printError(
      `None of ${lines.length} log lines is about ${subject}.`,
    );
    return EXIT_CODE.refused;
  }
  for (const line of found) {
    context.print(
      context.isJson ? JSON.stringify(line) : formatLine(line, context),
    );
  }
  return EXIT_CODE.ok;
}

/** Parses a line, which may have a prefix of the system that collected it. */
function parseLine(text: string): LogLine[] {
  const start = text.indexOf("{");
  if (start < 0) return [];
  try {
    const parsed = LogLine.safeParse(JSON.parse(text.slice(start)));
    return parsed.success ? [parsed.data] : [];
  } catch {
    // Output that is not a log line, such as that of the runtime.
    return [];
  }
}

function selectLines(lines: readonly LogLine[], subject: string): LogLine[] {
  const ordered = lines.toSorted((a, b) =>
    Number(a.time > b.time) - Number(a.time < b.time)
  );
  const direct = ordered.filter((line) => isAbout(line, subject));
  if (direct.length === 0) return [];
  const isJobOrTask = direct.some(({ job, task }) =>
    job === subject || belongsTo(task, subject)
  );
  if (!isJobOrTask) return direct;
  const executors = new Set(direct.map(({ executor }) => executor));
  const partitions = new Set(direct.map(({ partition }) => partition));
  const [first, last] = [direct[0]!.time, direct.at(-1)!.time];
  return ordered.filter((line) => {
    if (isAbout(line, subject)) return true;
    const { job, task, executor, partition, time } = line;
    const isOfOther = job !== undefined || task !== undefined;
    if (isOfOther || time < first || time > last) return false;
    return executor === undefined
      ? partition !== undefined && partitions.has(partition)
      : executors.has(executor);
  });
}

function isAbout(line: LogLine, subject: string): boolean {
  const { job, task, executor, machine, wave, reason } = line;
  return job === subject || belongsTo(task, subject) || executor === subject ||
    machine === subject ||
    (wave !== undefined && `wave.${wave}` === subject) ||
    (machine !== undefined && reason?.replace(" ", ".") === subject);
}

/** Returns whether a task is the subject or a task of the job. */
function belongsTo(task: string | undefined, subject: string): boolean {
  return task === subject || task?.startsWith(`${subject}.`) === true;
}

function formatLine(line: LogLine, context: CommandContext): string {
  const { time, node = "-", id, message, level } = line;
  const details = Object.entries(line)
    .filter(([name]) => !COMMON_FIELDS.has(name))
    .map(([name, value]) => `${name}=${formatValue(value)}`);
  const isInfo = level === undefined || level === "INFO" || level === "DEBUG";
  const text = isInfo ? message : colourise(message, "yellow", context);
  return [time, node, id, text, ...details].join("  ");
}

function formatValue(value: unknown): string {
  const isPlain = typeof value === "string" && !/\s/.test(value);
  return isPlain ? value : JSON.stringify(value);
}
