/**
 * Types of the entries in the catalogue of log events.
 *
 * @module
 */

/** Type of a field of a log event. */
export type LogFieldType = "string" | "number" | "boolean";

/** Definition of a numbered log event. */
export type LogEvent = {
  /** Number that stays the same for as long as the event exists. */
  id: `LL${number}`;
  level: "debug" | "info" | "warn" | "error";
  /** Text of the log line. */
  message: string;
  /** Types of the fields that each line of the event carries. */
  fields: Readonly<Record<string, LogFieldType>>;
};
