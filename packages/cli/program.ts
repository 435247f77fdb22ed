import { parseSettings } from "@lagoonloom/objects";
import { createOperatorClient } from "@lagoonloom/operators";
import { type CAC, cac, type Command } from "cac";
import { describeProblem } from "@lagoonloom/objects";
import { checkCommand } from "./check_command.ts";
import { type CliSettings, CliSettings as Settings } from "./cli_settings.ts";
import type { CommandContext, RemoteContext } from "./command_context.ts";
import { diffCommand } from "./diff_command.ts";
import { EXIT_CODE, EXIT_CODE_HELP, type ExitCode } from "./exit_code.ts";
import { explainCommand } from "./explain_command.ts";
import { getCommand } from "./get_command.ts";
import { historyCommand } from "./history_command.ts";
import { publishCommand } from "./publish_command.ts";
import { statusCommand } from "./status_command.ts";

/** What the program is given by the process that runs it. */
export type ProgramEnvironment =
  & Pick<CommandContext, "print" | "printError" | "readFile">
  & Pick<RemoteContext, "createId" | "wait">
  & {
    variables: Record<string, string | undefined>;
    isTerminal: boolean;
  };

const NAME = "lagoonloom";
const SETTINGS_VARIABLE = "LAGOONLOOM_SETTINGS";
const DEFAULT_HISTORY_LIMIT = 20;
const MAX_HISTORY_LIMIT = 1_000;

/** Options as cac parses them. */
type Options = Record<string, unknown>;

/** Runs a command whose command line is valid. */
type Run = (environment: ProgramEnvironment) => Promise<ExitCode>;

/** Message about a command line that cannot be used. */
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
    environment.printError(`${error.message}; see ${NAME} --help.`);
    return EXIT_CODE.usage;
  }
}

/** Returns what to run; undefined if the help text was printed. */
function parseCommandLine(args: string[]): Run | undefined {
  let run: Run | undefined;
  const program = createCommands(args, (found) => {
    run = found;
  });
  program.parse(["node", NAME, ...args]);
  if (program.options["help"] === true) return undefined;
  if (run !== undefined) return run;
  if (args.length === 0) {
    program.outputHelp();
    return undefined;
  }
  throw new UsageError(`There is no command "${program.args[0] ?? args[0]}"`);
}

function createCommands(args: string[], select: (run: Run) => void): CAC {
  const program = cac(NAME);
  const add = (command: Command, example: string) =>
    command
      .option("--json", "Print one line of JSON")
      .example(`  $ ${NAME} ${example}`);
  const remote = (command: Command, example: string) =>
    add(command, example).option(
      "--settings <file>",
      `Settings file (default: $${SETTINGS_VARIABLE})`,
    );
  add(
    program.command("check [...files]", "Check files that form one set"),
    "check examples/lakeshore.ini",
  ).action((files: string[], options: Options) => {
    const paths = requireFiles(files);
    select((environment) =>
      checkCommand(paths, createContext(environment, options))
    );
  });
  remote(
    program.command("publish [...files]", "Publish files as the set in force"),
    "publish examples/lakeshore.ini --expected-version 4",
  )
    .option("--expected-version <n>", "Version that the change is made for")
    .option("--id <id>", "Id of a publication whose outcome is unknown")
    .action((files: string[], options: Options) => {
      const request = {
        files: requireFiles(files),
        expectedVersion: requireNumber(args, "--expected-version"),
        id: options["id"] === undefined ? undefined : parseId(args),
      };
      select(
        withRemote(options, (context) => publishCommand(request, context)),
      );
    });
  remote(
    program.command("status", "Show the version in force on each daemon"),
    "status",
  ).action((options: Options) => select(withRemote(options, statusCommand)));
  remote(
    program.command("get [kind] [name]", "Print objects of the set in force"),
    "get host quoting-1",
  ).action((kind: unknown, name: unknown, options: Options) => {
    const request = { kind: optionalText(kind), name: optionalText(name) };
    select(withRemote(options, (context) => getCommand(request, context)));
  });
  remote(
    program.command("history", "Print the publications that took effect"),
    "history --limit 5",
  )
    .option("--limit <n>", `Most lines (default: ${DEFAULT_HISTORY_LIMIT})`)
    .action((options: Options) => {
      const limit = options["limit"] === undefined
        ? DEFAULT_HISTORY_LIMIT
        : requireNumber(args, "--limit");
      if (limit < 1 || limit > MAX_HISTORY_LIMIT) {
        throw new UsageError(`Expected 1 to ${MAX_HISTORY_LIMIT} for --limit`);
      }
      select(
        withRemote(options, (context) => historyCommand({ limit }, context)),
      );
    });
  remote(
    program.command("diff [...files]", "Compare files with the set in force"),
    "diff examples/lakeshore.ini",
  ).action((files: string[], options: Options) => {
    const paths = requireFiles(files);
    select(withRemote(options, (context) => diffCommand(paths, context)));
  });
  remote(
    program.command("explain <kind> <name>", "Print reasons for decisions"),
    "explain host quoting-1",
  ).action((kind: unknown, name: unknown, options: Options) => {
    const request = { kind: String(kind), name: String(name) };
    select(withRemote(options, (context) => explainCommand(request, context)));
  });
  program.help((sections) => [
    ...sections,
    { title: "Exit codes", body: EXIT_CODE_HELP },
  ]);
  return program;
}

function requireFiles(files: unknown[]): string[] {
  if (files.length === 0) throw new UsageError("Expected at least one file");
  return files.map(String);
}

/** Text of an option; cac would turn it into a number. */
function rawOption(args: string[], option: string) {
  const i = args.findIndex((arg) => arg === option);
  if (i >= 0) return args[i + 1] ?? "";
  const prefix = `${option}=`;
  return args.find((arg) => arg.startsWith(prefix))?.slice(prefix.length);
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
  throw new UsageError(`Expected a publication id for --id, found "${id}"`);
}

function optionalText(value: unknown): string | undefined {
  return value === undefined ? undefined : String(value);
}

function createContext(
  environment: ProgramEnvironment,
  options: Options,
): CommandContext {
  const { print, printError, readFile, isTerminal, variables } = environment;
  const useColour = isTerminal && (variables["NO_COLOR"] ?? "") === "";
  const isJson = options["json"] === true;
  return { print, printError, readFile, isJson, useColour };
}

/** Returns a function that reads the settings and runs a command with them. */
function withRemote(
  options: Options,
  command: (context: RemoteContext) => Promise<ExitCode>,
): Run {
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
      publishAttempts: requests.publish_attempts,
      retryDelayMs: requests.retry_delay_ms,
      createId: environment.createId,
      wait: environment.wait,
    });
  };
}

async function readSettings(
  { variables, readFile, printError }: ProgramEnvironment,
  options: Options,
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
