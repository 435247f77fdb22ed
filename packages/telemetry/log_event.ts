/** Type of a field of a log event. */
export type LogFieldType = "string" | "number" | "boolean";

/** Description of a numbered log event. */
export type LogEvent = {
  /** Number that stays the same for as long as the event exists. */
  id: `LL${number}`;
  level: "debug" | "info" | "warn" | "error";
  message: string;
  fields: Readonly<Record<string, LogFieldType>>;
};
