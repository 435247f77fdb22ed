/**
 * Input, output and settings that commands use.
 *
 * @module
 */

import type { OperatorClient } from "@lagoonloom/operators";

/** Input and output of a command. */
export type CommandContext = {
  /** Writes a line to the standard output. */
  print: (line: string) => void;
  /** Writes a line to the standard error. */
  printError: (line: string) => void;
  /** Whether the command prints its result as one line of JSON. */
  isJson: boolean;
  /** Whether the output shows colours. */
  useColour: boolean;
  /** Reads a text file; rejects if it cannot be read. */
  readFile: (path: string) => Promise<string>;
};

/** Context of a command that sends requests to daemons. */
export type RemoteContext = CommandContext & {
  /** Clients of all daemons in the settings. */
  clients: OperatorClient[];
  /** Name of the operator. */
  operator: string;
  /** Most attempts to send a request that changes something. */
  maxAttempts: number;
  /** Time before a request is sent again. */
  retryDelayMs: number;
  /** Returns a new unique id for a request. */
  createId: () => string;
  /** Resolves after a time. */
  wait: (delayMs: number) => Promise<void>;
};
