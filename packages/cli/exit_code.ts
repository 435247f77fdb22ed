/**
 * Exit codes of the command line.
 *
 * @module
 */

/** Exit codes by their meaning. */
export const EXIT_CODE = {
  ok: 0,
  /** The request was refused, or problems were found. */
  refused: 1,
  /** The command line, a file or the settings cannot be used. */
  usage: 2,
  /** The outcome is unknown, or no daemon could be reached. */
  unknown: 3,
} as const;

/** Exit code of a command. */
export type ExitCode = (typeof EXIT_CODE)[keyof typeof EXIT_CODE];

/** Exit codes with their meaning, for the help text. */
export const EXIT_CODE_HELP = `  0  ok
  1  refused, or problems found
  2  the command line, a file or the settings cannot be used
  3  unknown outcome, or no daemon reachable`;
