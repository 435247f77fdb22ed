import { describe, expect, test } from "@jest/globals";
import { createEventLog } from "./event_log.ts";
import {
  createJobMetrics,
  MAX_ORGANISATION_LABELS,
  MAX_QUEUE_LABELS,
} from "./job_metrics.ts";

describe("createJobMetrics", () => {
  const create = () => {
    const metrics = createJobMetrics();
    const events = createEventLog({
      format: "hidden",
      onEvent: metrics.observe,
    });
    return { metrics, events };
  };

  // Guards against metrics that disagree with the log.
  test("counts the events and records their durations", async () => {
    const { metrics, events } = create();
    events.log("jobAccepted", {
      job: "a",
      queue: "quotes",
      position: "3/0",
      tookMs: 8,
    });
    events.log("runEnded", {
      task: "a.0.0.0",
      run: 1,
      executor: "e1",
      how: "done",
      ranMs: 700,
    });
    const text = await metrics.registry.metrics();
    expect(text).toContain('lagoonloom_job_events_total{id="LL6101"} 1');
    expect(text).toContain(
      'lagoonloom_job_acceptance_seconds_sum{queue="quotes"} 0.008',
    );
    expect(text).toContain('lagoonloom_task_run_seconds_sum{how="done"} 0.7');
  });

  // Guards against a silent owner of which nobody can tell whether calls
  // reach it, and whether its connections stand.
  test("tells calls between members that failed from those served", async () => {
    const { metrics, events } = create();
    metrics.readServedCalls(() => new Map([["show", 7]]));
    events.log("memberCallFailed", {
      address: "10.3.0.224:7120",
      call: "show",
      partition: 3,
      job: "a",
      code: "deadline_exceeded",
      reason: "the operation timed out",
      tookMs: 800,
      timeoutMs: 800,
      connection: "connecting",
      silentMs: -1,
    });
    const text = await metrics.registry.metrics();
    expect(text).toContain(
      'lagoonloom_member_call_failure_seconds_sum{call="show",' +
        'connection="connecting"} 0.8',
    );
    expect(text).toContain(
      'lagoonloom_member_calls_served_total{call="show"} 7',
    );
    expect(await metrics.registry.metrics()).toContain(
      'lagoonloom_member_calls_served_total{call="show"} 7',
    );
  });

  // Guards against large tasks that wait long, and reservations that are
  // missed, without anybody seeing it.
  test("records waits by width and what became of reservations", async () => {
    const { metrics, events } = create();
    const placed = { task: "a.0.0.0", run: 1, executor: "e1", reason: "" };
    events.log("taskPlaced", { ...placed, cpu: 1_000, waitedMs: 20 });
    events.log("taskPlaced", { ...placed, cpu: 12_000, waitedMs: 3_000 });
    const step = "a.0.0";
    events.log("roomReserved", { step, tasks: 1, cpu: 12_000, aheadMs: 800 });
    events.log("reservationOver", { step, isKept: true, waitedMs: 700 });
    events.log("reservationOver", { step, isKept: false, waitedMs: 700 });
    const text = await metrics.registry.metrics();
    for (
      const line of [
        'lagoonloom_task_wait_seconds_sum{width="up_to_1_core"} 0.02',
        'lagoonloom_task_wait_seconds_sum{width="up_to_16_cores"} 3',
        'lagoonloom_reservations_total{outcome="made"} 1',
        'lagoonloom_reservations_total{outcome="kept"} 1',
        'lagoonloom_reservations_total{outcome="missed"} 1',
      ]
    ) expect(text).toContain(line);
  });

  // Guards against refusals and an old configuration that operators don't see.
  test("counts refused calls and reads the configuration's age", async () => {
    const { metrics, events } = create();
    metrics.readConfigurationAge(() => 1_500);
    events.log("keysRejected", { queue: "quotes", calls: 3 });
    events.log("callsOutdated", { queue: "quotes", calls: 2, ageMs: 4_950 });
    const text = await metrics.registry.metrics();
    expect(text).toContain(
      'calls_refused_total{queue="quotes",reason="unknown_key"} 3',
    );
    expect(text).toContain(
      'calls_refused_total{queue="quotes",reason="outdated"} 2',
    );
    expect(text).toContain("lagoonloom_job_configuration_age_seconds 1.5");
  });

  // Guards against an unbounded number of time series when a configuration has
  // many queues.
  test("counts queues beyond the limit as other", async () => {
    const { metrics, events } = create();
    const names = Array.from({ length: 300 }, (_, index) => `queue-${index}`);
    for (const queue of names) {
      events.log("jobAccepted", {
        job: "a",
        queue,
        position: "3/0",
        tookMs: 8,
      });
    }
    const text = await metrics.registry.metrics();
    const lines = text.split("\n").filter((line) =>
      line.startsWith("lagoonloom_job_acceptance_seconds_count{")
    );
    expect(lines).toHaveLength(MAX_QUEUE_LABELS + 1);
  });

  // Guards against numbers of organisations that disagree with the log, and an
  // unbounded number of time series.
  test("counts jobs by organisation", async () => {
    const { metrics, events } = create();
    const names = Array.from({ length: 300 }, (_, index) => `o${index}`);
    for (const organisation of names) {
      const fields = { partition: 3, weight: 1, jobs: 5, beyondWeight: 2 };
      events.log("organisationJobs", { organisation, ...fields });
    }
    events.log("jobBeyondWeight", {
      job: "a",
      queue: "quotes",
      organisation: "o0",
      retryAfterMs: 900,
    });
    const text = await metrics.registry.metrics();
    const lines = text.split("\n").filter((line) =>
      line.startsWith("lagoonloom_organisation_jobs_total{")
    );
    expect(lines.filter((line) => line.includes('"o0"'))).toEqual([
      'lagoonloom_organisation_jobs_total{organisation="o0",' +
      'outcome="within_weight"} 3',
      'lagoonloom_organisation_jobs_total{organisation="o0",' +
      'outcome="beyond_weight"} 2',
      'lagoonloom_organisation_jobs_total{organisation="o0",' +
      'outcome="refused"} 1',
    ]);
    expect(lines).toHaveLength(2 * (MAX_ORGANISATION_LABELS + 1) + 1);
  });
});
