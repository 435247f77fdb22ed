import { describe, expect, test } from "@jest/globals";
import { readFileSync } from "node:fs";
import type { LogEvent } from "./log_event.ts";
import { LOG_EVENTS } from "./log_events.ts";

/** Returns the row of an event in the table of `docs/events.md`. */
function formatRow(event: LogEvent): string {
  const fields = Object.keys(event.fields).map((name) => `\`${name}\``);
  return `| ${event.id} | ${event.level} | ${event.message} | ${
    fields.join(", ") || "none"
  } |`;
}

describe("LOG_EVENTS", () => {
  const events: LogEvent[] = Object.values(LOG_EVENTS);

  // Guards against an event that is missing from the page, a changed message,
  // and a row whose event no longer exists.
  test("equals the table in docs/events.md", () => {
    const page = readFileSync(
      new URL("../../docs/events.md", import.meta.url),
      "utf8",
    );
    const rows = page.split("\n").filter((line) => line.startsWith("| LL"));
    expect(rows.sort()).toEqual(events.map(formatRow).sort());
  });

  // Guards against two events with the same number.
  test("has unique numbers", () => {
    expect(new Set(events.map((event) => event.id)).size).toBe(events.length);
  });
});
