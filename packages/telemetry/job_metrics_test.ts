import { describe, expect, test } from "@jest/globals";
import { createEventLog } from "./event_log.ts";
import { createJobMetrics, MAX_QUEUE_LABELS } from "./job_metrics.ts";

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
});
