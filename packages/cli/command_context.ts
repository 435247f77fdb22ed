import type { OperatorClient } from "@lagoonloom/operators";

/** What every command is given from outside. */
export type CommandContext = {
  /** Writes a line to the standard output. */
  print: (line: string) => void;
  /** Writes a line to the standard error. */
  printError: (line: string) => void;
  /** Whether the result is one line of JSON. */
  isJson: boolean;
  useColour: boolean;
  /** Reads a text file; rejects if it cannot be read. */
  readFile: (path: string) => Promise<string>;
};

/** What commands that talk to daemons are given from outside. */
export type RemoteContext = CommandContext & {
  clients: OperatorClient[];
  /** Name of the operator. */
  operator: string;
  publishAttempts: number;
  retryDelayMs: number;
  createId: () => string;
  wait: (delayMs: number) => Promise<void>;
};
