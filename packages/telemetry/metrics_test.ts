import { describe, expect, test } from "@jest/globals";
import { createEventLog } from "./event_log.ts";
import { createMetrics, MAX_SERVICE_LABELS } from "./metrics.ts";

describe("createMetrics()", () => {
  // Guards against an unbounded number of time series from names that callers
  // send.
  test("counts unknown label values as other", async () => {
    const metrics = createMetrics();
    const names = Array.from({ length: 300 }, (_, index) => `service-${index}`);
    metrics.allowServices(names);
    metrics.allowTeams(names);
    for (const service of names) {
      metrics.observeRequest({ service, urgency: service, team: service }, {
        durationMs: 1,
        outcome: service,
      });
    }
    const text = await metrics.registry.metrics();
    const lines = text.split("\n").filter((line) =>
      line.startsWith("lagoonloom_request_outcomes_total{")
    );
    expect(lines).toHaveLength(MAX_SERVICE_LABELS + 1);
    expect(lines.at(-1)).toBe(
      'lagoonloom_request_outcomes_total{service="other",urgency="other",outcome="other"} 100',
    );
    const counts = text.split("\n").filter((line) =>
      line.startsWith("lagoonloom_team_request_duration_seconds_count{")
    );
    expect(counts).toHaveLength(MAX_SERVICE_LABELS + 1);
    expect(counts.at(-1)).toBe(
      'lagoonloom_team_request_duration_seconds_count{team="other",urgency="other"} 100',
    );
  });
});

describe("createEventLog()", () => {
  // Guards against an event that is passed on without its number or fields.
  test("passes the event and its fields on", () => {
    const seen: unknown[] = [];
    const events = createEventLog({
      format: "hidden",
      onEvent: (event, fields) => seen.push([event.id, fields]),
    });
    events.log("watcherNamed", { watcher: "a" });
    expect(seen).toEqual([["LL3003", { watcher: "a" }]]);
  });
});
