/**
 * Parsing of the command line, and dispatch to the commands.
 *
 * @module
 */

import { describeProblem, parseSettings } from "@lagoonloom/objects";
import { createOperatorClient } from "@lagoonloom/operators";
import { type CAC, cac, type Command } from "cac";
import { parseJob } from "./_job_arguments.ts";
import { checkCommand } from "./check_command.ts";
import { type CliSettings, CliSettings as Settings } from "./cli_settings.ts";
import type { CommandContext, RemoteContext } from "./command_context.ts";
import { diffCommand } from "./diff_command.ts";
import { EXIT_CODE, EXIT_CODE_HELP, type ExitCode } from "./exit_code.ts";
import { explainCommand } from "./explain_command.ts";
import { getCommand } from "./get_command.ts";
import { historyCommand } from "./history_command.ts";
import {
  cancelJobCommand,
  listJobsCommand,
  submitJobCommand,
} from "./job_command.ts";
import { publishCommand } from "./publish_command.ts";
import { statusCommand } from "./status_command.ts";
import { traceCommand } from "./trace_command.ts";

/** Input, output and environment of the process that runs the program. */
export type ProgramEnvironment =
  & Pick<CommandContext, "print" | "printError" | "readFile">
  & Pick<RemoteContext, "createId" | "wait">
  & {
    /** Environment variables. */
    variables: Record<string, string | undefined>;
    /** Whether the standard output is a terminal. */
    isTerminal: boolean;
  };

const PROGRAM_NAME = "lagoonloom";
const SETTINGS_VARIABLE = "LAGOONLOOM_SETTINGS";
/** Path under which the standard input can be read. */
const STANDARD_INPUT = "/dev/stdin";
const DEFAULT_HISTORY_LIMIT = 20;
const MAX_HISTORY_LIMIT = 1_000;

/** Options as the package `cac` parses them. */
type ParsedOptions = Record<string, unknown>;

/** Runs a command whose arguments are valid. */
type RunCommand = (environment: ProgramEnvironment) => Promise<ExitCode>;

/** Error in the arguments of the program. */
class UsageError extends Error {}

/**
 * Runs the command line and returns its exit code. The arguments begin after
 * the name of the program.
 *
 * @example
 * ```ts
 * const exitCode = await runProgram(["check", "set.ini"], environment);
 * ```
 */
export async function runProgram(
  args: string[],
  environment: ProgramEnvironment,
): Promise<ExitCode> {
  try {
    const run = parseCommandLine(args);
    return run === undefined ? EXIT_CODE.ok : await run(environment);
  } catch (error) {
    const isUsage = error instanceof UsageError ||
      (error instanceof Error && error.name === "CACError");
    if (!isUsage) throw error;
    environment.printError(`${error.message}; see ${PROGRAM_NAME} --help.`);
    return EXIT_CODE.usage;
  }
}

/** Returns the command to run; undefined if the help text was printed. */
function parseCommandLine(args: string[]): RunCommand | undefined {
  let run: RunCommand | undefined;
  const program = createCommands(args, (found) => {
    run = found;
  });
  program.parse(["node", PROGRAM_NAME, ...args]);
  if (program.options["help"] === true) return undefined;
  if (run !== undefined) return run;
  if (args.length === 0) {
    program.outputHelp();
    return undefined;
  }
  throw new UsageError(`There is no command "${program.args[0] ?? args[0]}"`);
}

/** Called with the command that the arguments select. */
type SelectCommand = (run: RunCommand) => void;

function createCommands(args: string[], select: SelectCommand): CAC {
  const program = cac(PROGRAM_NAME);
  addFileCommands(program, { args, select });
  addTraceCommand(program, { args, select });
  addPublishCommand(program, { args, select });
  addReadCommands(program, { args, select });
  addJobCommand(program, { args, select });
  program.help((sections) => [
    ...sections,
    { title: "Exit codes", body: EXIT_CODE_HELP },
  ]);
  return program;
}

type AddOptions = { args: string[]; select: SelectCommand };

function addFileCommands(program: CAC, { select }: AddOptions) {
  withOptions(
    program.command("check [...files]", "Check files that form one set"),
    { example: "check examples/lakeshore.ini" },
  ).action((files: unknown[], options: ParsedOptions) => {
    const paths = requireFiles(files);
    select((environment) =>
      checkCommand(paths, createContext(environment, options))
    );
  });
  withOptions(
    program.command("diff [...files]", "Compare files with the set in force"),
    { example: "diff examples/lakeshore.ini", isRemote: true },
  ).action((files: unknown[], options: ParsedOptions) => {
    const paths = requireFiles(files);
    select(withSettings(options, (context) => diffCommand(paths, context)));
  });
}

function addTraceCommand(program: CAC, { select }: AddOptions) {
  withOptions(
    program.command(
      "trace <subject> [...files]",
      "Show what logs of members say about a job, task, executor or machine",
    ),
    { example: "trace 5c0e7a21d94b36f8 members.log" },
  ).action((subject: unknown, files: unknown[], options: ParsedOptions) => {
    const paths = files.length === 0 ? [STANDARD_INPUT] : requireFiles(files);
    select((environment) =>
      traceCommand(String(subject), {
        paths,
        context: createContext(environment, options),
      })
    );
  });
}

function addPublishCommand(program: CAC, { args, select }: AddOptions) {
  withOptions(
    program.command("publish [...files]", "Publish files as the set in force"),
    {
      example: "publish examples/lakeshore.ini --expected-version 4",
      isRemote: true,
    },
  )
    .option("--expected-version <n>", "Version that the change is made for")
    .option("--id <id>", "Id of a publication whose outcome is unknown")
    .action((files: unknown[], options: ParsedOptions) => {
      const request = {
        files: requireFiles(files),
        expectedVersion: requireNumber(args, "--expected-version"),
        id: options["id"] === undefined ? undefined : parseId(args),
      };
      select(
        withSettings(options, (context) => publishCommand(request, context)),
      );
    });
}

function addReadCommands(program: CAC, { args, select }: AddOptions) {
  withOptions(
    program.command("status", "Show the version in force on each daemon"),
    { example: "status", isRemote: true },
  ).action((options: ParsedOptions) =>
    select(withSettings(options, statusCommand))
  );
  withOptions(
    program.command("get [kind] [name]", "Print objects of the set in force"),
    { example: "get host quoting-1", isRemote: true },
  ).action((kind: unknown, name: unknown, options: ParsedOptions) => {
    const request = { kind: optionalText(kind), name: optionalText(name) };
    select(withSettings(options, (context) => getCommand(request, context)));
  });
  withOptions(
    program.command("history", "Print the publications that took effect"),
    { example: "history --limit 5", isRemote: true },
  )
    .option("--limit <n>", `Most lines (default: ${DEFAULT_HISTORY_LIMIT})`)
    .action((options: ParsedOptions) => {
      const limit = options["limit"] === undefined
        ? DEFAULT_HISTORY_LIMIT
        : requireNumber(args, "--limit");
      if (limit < 1 || limit > MAX_HISTORY_LIMIT) {
        throw new UsageError(`Expected 1 to ${MAX_HISTORY_LIMIT} for --limit`);
      }
      select(
        withSettings(
          options,
          (context) => historyCommand({ limit }, context),
        ),
      );
    });
  withOptions(
    program.command("explain <kind> <name>", "Print reasons for decisions"),
    { example: "explain host quoting-1", isRemote: true },
  ).action((kind: unknown, name: unknown, options: ParsedOptions) => {
    const request = { kind: String(kind), name: String(name) };
    select(
      withSettings(options, (context) => explainCommand(request, context)),
    );
  });
}

function addJobCommand(program: CAC, { args, select }: AddOptions) {
  withOptions(
    program.command("job <action> [name]", "submit, cancel or list jobs"),
    {
      example: "job submit render-1 --team archive --cores 4 --memory-gb 8 " +
        "--run-s 600",
      isRemote: true,
    },
  )
    .option("--team <name>", "Team of the job")
    .option("--urgency <class>", "urgent, normal (default) or deferrable")
    .option("--cores <n>", "Processor cores")
    .option("--memory-gb <n>", "Memory in gigabytes")
    .option("--accelerators <n>", "Accelerators (default: 0)")
    .option("--run-s <n>", "Expected run time in seconds")
    .option("--data-centres <names>", "Data centres, separated by commas")
    .option("--state <state>", "With list: only jobs in this state")
    .option("--id <id>", "Id of a request whose outcome is unknown")
    .action((action: unknown, _name: unknown, options: ParsedOptions) => {
      select(
        withSettings(
          options,
          parseJobCommand(args, String(action), options),
        ),
      );
    });
}

function parseJobCommand(
  args: string[],
  action: string,
  options: ParsedOptions,
): (context: RemoteContext) => Promise<ExitCode> {
  const id = options["id"] === undefined ? undefined : parseId(args);
  if (action === "list") {
    const state = rawOption(args, "--state");
    return (context) => listJobsCommand({ state }, context);
  }
  const job = rawName(args, action);
  if (action === "cancel") {
    return (context) => cancelJobCommand({ job, id }, context);
  }
  if (action !== "submit") {
    throw new UsageError("Expected job submit, job cancel or job list");
  }
  const request = parseJob(job, (option) => rawOption(args, option));
  if (typeof request === "string") throw new UsageError(request);
  return (context) => submitJobCommand({ ...request, id }, context);
}

/**
 * Returns the name after an action. It is read from the raw arguments, since
 * cac parses a name such as 007 as a number.
 */
function rawName(args: string[], action: string): string {
  const name = args[args.indexOf(action) + 1];
  if (name !== undefined && !name.startsWith("-")) return name;
  throw new UsageError(`Expected job ${action} NAME`);
}

/** Adds the options that all commands have, and an example for the help. */
function withOptions(
  command: Command,
  { example, isRemote = false }: { example: string; isRemote?: boolean },
): Command {
  command
    .option("--json", "Print one line of JSON")
    .example(`  $ ${PROGRAM_NAME} ${example}`);
  return isRemote
    ? command.option(
      "--settings <file>",
      `Settings file (default: $${SETTINGS_VARIABLE})`,
    )
    : command;
}

function requireFiles(files: unknown[]): string[] {
  if (files.length === 0) throw new UsageError("Expected at least one file");
  return files.map(String);
}

/**
 * Returns the text of an option. It is read from the raw arguments, since cac
 * parses some texts as numbers.
 */
function rawOption(args: string[], option: string): string | undefined {
  const prefix = `${option}=`;
  const found = args.flatMap((arg, i) => {
    if (arg === option) return [args[i + 1] ?? ""];
    return arg.startsWith(prefix) ? [arg.slice(prefix.length)] : [];
  });
  if (found.length > 1) throw new UsageError(`Expected ${option} once`);
  return found[0];
}

function requireNumber(args: string[], option: string): number {
  const text = rawOption(args, option);
  if (text === undefined) throw new UsageError(`Expected ${option} N`);
  if (!/^\d{1,15}$/.test(text)) {
    throw new UsageError(
      `Expected a whole number for ${option}, found "${text}"`,
    );
  }
  return Number(text);
}

function parseId(args: string[]): string {
  const id = rawOption(args, "--id") ?? "";
  if (/^[A-Za-z0-9_-]{1,64}$/.test(id)) return id;
  throw new UsageError(`Expected the id of a request for --id, found "${id}"`);
}

function optionalText(value: unknown): string | undefined {
  return value === undefined ? undefined : String(value);
}

function createContext(
  environment: ProgramEnvironment,
  options: ParsedOptions,
): CommandContext {
  const { print, printError, readFile, isTerminal, variables } = environment;
  const useColour = isTerminal && (variables["NO_COLOR"] ?? "") === "";
  const isJson = options["json"] === true;
  return { print, printError, readFile, isJson, useColour };
}

/** Returns a function that reads the settings and runs a command with them. */
function withSettings(
  options: ParsedOptions,
  command: (context: RemoteContext) => Promise<ExitCode>,
): RunCommand {
  return async (environment) => {
    const settings = await readSettings(environment, options);
    if (settings === undefined) return EXIT_CODE.usage;
    const { operator, daemons, requests } = settings;
    return await command({
      ...createContext(environment, options),
      operator: operator.name,
      clients: daemons.addresses.map((address) =>
        createOperatorClient({
          address,
          key: operator.key,
          timeoutMs: requests.timeout_ms,
        })
      ),
      maxAttempts: requests.publish_attempts,
      retryDelayMs: requests.retry_delay_ms,
      createId: environment.createId,
      wait: environment.wait,
    });
  };
}

async function readSettings(
  { variables, readFile, printError }: ProgramEnvironment,
  options: ParsedOptions,
): Promise<CliSettings | undefined> {
  const file = optionalText(options["settings"]) ??
    variables[SETTINGS_VARIABLE];
  if (file === undefined || file === "") {
    printError(`Expected --settings FILE or ${SETTINGS_VARIABLE}.`);
    return undefined;
  }
  let text: string;
  try {
    text = await readFile(file);
  } catch (error) {
    const detail = error instanceof Error ? error.message : String(error);
    printError(`${file}: cannot be read: ${detail}`);
    return undefined;
  }
  return parseSettings(text, Settings, { file }).caseOf({
    Left: (problems) => {
      for (const problem of problems) printError(describeProblem(problem));
      return undefined;
    },
    Right: (settings) => settings,
  });
}
