/**
 * Structured log whose lines each carry the number of a log event.
 *
 * @module
 */

import { Logger } from "tslog";
import type { LogEvent } from "./log_event.ts";
import {
  LOG_EVENTS,
  type LogEventFields,
  type LogEventName,
} from "./log_events.ts";

/** Writer of numbered log events. */
export type EventLog = {
  /** Writes one event with its fields. */
  log<Name extends LogEventName>(
    name: Name,
    fields: LogEventFields<Name>,
  ): void;
};

/** Options of {@linkcode createEventLog}. */
export type EventLogOptions = {
  /** Fields that are added to every line, such as the member's name. */
  bindings?: Readonly<Record<string, string>>;
  /** Format of the lines; by default pretty on a terminal, otherwise JSON. */
  format?: "json" | "pretty" | "hidden";
  /** Lowest level that is written; INFO by default. */
  minLevel?: "DEBUG" | "INFO" | "WARN" | "ERROR";
  /** Called with each event as well, for example to count it in metrics. */
  onEvent?: (
    event: LogEvent,
    fields: Readonly<Record<string, unknown>>,
  ) => void;
};

/**
 * Creates a writer of log events. Each line holds the event's number as `id`.
 *
 * @example
 * ```ts
 * const events = createEventLog({ bindings: { member: "detroit-1" } });
 * events.log("daemonReady", { nextOffset: 12, setVersion: 3 });
 * ```
 */
export function createEventLog(options: EventLogOptions = {}): EventLog {
  const logger = new Logger({
    type: options.format ?? (process.stdout.isTTY ? "pretty" : "json"),
    minLevel: options.minLevel ?? "INFO",
    bindings: { ...options.bindings },
  });
  return {
    log(name, fields) {
      const event: LogEvent = LOG_EVENTS[name];
      options.onEvent?.(event, fields);
      logger[event.level](event.message, { id: event.id, ...fields });
    },
  };
}
