/**
 * Output of the outcome of a publication.
 *
 * @module
 */

import { KIND_WORDS } from "@lagoonloom/objects";
import type { PublicationOutcome } from "@lagoonloom/operators";
import { colourise, formatTime } from "./_output.ts";
import type { CommandContext } from "./command_context.ts";
import { EXIT_CODE, type ExitCode } from "./exit_code.ts";

type Refused = Extract<PublicationOutcome, { type: "refused" }>;

/** Options for {@linkcode reportPublication}. */
export type ReportPublicationOptions = {
  context: CommandContext;
  /** In a conflict, how the files differ from the object set in force. */
  difference?: string[];
};

/** Prints the outcome of a publication and returns the exit code. */
export function reportPublication(
  outcome: PublicationOutcome,
  { context, difference }: ReportPublicationOptions,
): ExitCode {
  const exitCode = toExitCode(outcome);
  if (context.isJson) {
    context.print(JSON.stringify({ ...outcome, difference }));
    return exitCode;
  }
  if (outcome.type === "accepted") {
    const { version, offset } = outcome;
    const text = `Version ${version} was accepted at offset ${offset}.`;
    context.print(colourise(text, "green", context));
  } else if (outcome.type === "unknown") {
    const id = outcome.publicationId;
    context.printError(
      `The outcome of publication ${id} is unknown; run the command again ` +
        `with --id ${id}.`,
    );
  } else {
    reportRefused(outcome, context);
    if (difference !== undefined) reportDifference(difference, context);
  }
  return exitCode;
}

function toExitCode(outcome: PublicationOutcome): ExitCode {
  if (outcome.type === "accepted") return EXIT_CODE.ok;
  const isInconclusive = outcome.type === "unknown" ||
    outcome.cause === "unavailable";
  return isInconclusive ? EXIT_CODE.unknown : EXIT_CODE.refused;
}

function reportRefused(outcome: Refused, context: CommandContext) {
  context.printError(
    colourise(`Not accepted: ${outcome.reason}`, "red", context),
  );
  for (const { kind, name, field, message } of outcome.problems ?? []) {
    const place = `[${KIND_WORDS[kind]} ${name}]`;
    const part = field === undefined ? place : `${place} ${field}`;
    context.printError(`${part}: ${message}`);
  }
  for (const newer of outcome.winners ?? []) {
    const { version, operator, timeMs, put, removed } = newer;
    context.printError(
      `Version ${version} was published by ${operator} at ` +
        `${formatTime(timeMs)}:`,
    );
    for (const object of put) context.printError(`  put ${object}`);
    for (const object of removed) context.printError(`  removed ${object}`);
  }
}

function reportDifference(lines: string[], context: CommandContext) {
  context.printError(
    `The files differ from the version in force by ${lines.length} object(s):`,
  );
  for (const line of lines) context.printError(`  ${line}`);
}
