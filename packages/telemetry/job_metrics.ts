/**
 * Prometheus metrics of members that run jobs.
 *
 * @module
 */

import { Counter, Gauge, Histogram, Registry } from "prom-client";
import { JOB_LOG_EVENTS } from "./job_log_events.ts";
import { createLabelAllowlist } from "./label_allowlist.ts";
import type { LogEvent } from "./log_event.ts";

/** Most queues with time series of their own; others count as `other`. */
export const MAX_QUEUE_LABELS = 200;

/** Most organisations with time series of their own, likewise. */
export const MAX_ORGANISATION_LABELS = 200;

const ACCEPTANCE_BUCKETS_S = [0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2];

const RUN_BUCKETS_S = [0.1, 0.2, 0.5, 1, 2, 5, 10, 30, 60, 300];

const WAIT_BUCKETS_S = [0.05, 0.1, 0.25, 0.5, 1, 2, 4, 8, 15, 30, 60];

/** Widths of tasks by the most processor time, in thousandths of a core. */
const WIDTHS = [
  { width: "up_to_1_core", maxCpu: 1_000 },
  { width: "up_to_4_cores", maxCpu: 4_000 },
  { width: "up_to_16_cores", maxCpu: 16_000 },
  { width: "over_16_cores", maxCpu: Infinity },
] as const;

const CALL_BUCKETS_S = [0.01, 0.05, 0.1, 0.25, 0.5, 1, 2, 5];

const TAKEOVER_BUCKETS_S = [0.05, 0.1, 0.2, 0.5, 1, 2, 5, 10];

/** Metrics of a member that owns jobs. */
export type JobMetrics = {
  registry: Registry;
  /** Counts a log event and records the durations in its fields. */
  observe(event: LogEvent, fields: Readonly<Record<string, unknown>>): void;
  /** Exports the age of the configuration, which is read for each scrape. */
  readConfigurationAge(readMs: () => number): void;
  /** Exports how many calls of other members were served, by call. */
  readServedCalls(read: () => ReadonlyMap<string, number>): void;
};

/**
 * Creates the metrics of a member. They are derived from the log events, so
 * that a count always agrees with the log lines that explain it.
 *
 * @example
 * ```ts
 * const metrics = createJobMetrics();
 * const events = createEventLog({ onEvent: metrics.observe });
 * ```
 */
export function createJobMetrics(): JobMetrics {
  const registry = new Registry();
  const registers = [registry];
  const queues = createLabelAllowlist({ maxValues: MAX_QUEUE_LABELS });
  const organisations = createLabelAllowlist({
    maxValues: MAX_ORGANISATION_LABELS,
  });
  const counts = new Counter({
    name: "lagoonloom_job_events_total",
    help: "Log events by number.",
    labelNames: ["id"] as const,
    registers,
  });
  const acceptances = new Histogram({
    name: "lagoonloom_job_acceptance_seconds",
    help: "Time from a job's arrival until it is stored, by queue.",
    labelNames: ["queue"] as const,
    buckets: ACCEPTANCE_BUCKETS_S,
    registers,
  });
  const runs = new Histogram({
    name: "lagoonloom_task_run_seconds",
    help: "Time from the request to start a run to its end, by kind of end.",
    labelNames: ["how"] as const,
    buckets: RUN_BUCKETS_S,
    registers,
  });
  const takeovers = new Histogram({
    name: "lagoonloom_partition_takeover_seconds",
    help: "Time from the takeover of a partition until all its runs are known.",
    buckets: TAKEOVER_BUCKETS_S,
    registers,
  });
  const waits = new Histogram({
    name: "lagoonloom_task_wait_seconds",
    help: "Time for which a task waited until it was placed, by its width.",
    labelNames: ["width"] as const,
    buckets: WAIT_BUCKETS_S,
    registers,
  });
  const reservations = new Counter({
    name: "lagoonloom_reservations_total",
    help: "Reservations of room that were made, moved, kept or missed.",
    labelNames: ["outcome"] as const,
    registers,
  });
  const refusals = new Counter({
    name: "lagoonloom_job_calls_refused_total",
    help: "Calls refused for their key or an old configuration, by queue.",
    labelNames: ["queue", "reason"] as const,
    registers,
  });
  const countRefused = (
    fields: Readonly<Record<string, unknown>>,
    reason: "unknown_key" | "outdated",
  ) => {
    const name = String(fields["queue"]);
    queues.allow([name]);
    refusals.inc(
      { queue: queues.label(name), reason },
      Number(fields["calls"]),
    );
  };
  const organisationJobs = new Counter({
    name: "lagoonloom_organisation_jobs_total",
    help: "Jobs by organisation: within its weight, beyond it, or refused.",
    labelNames: ["organisation", "outcome"] as const,
    registers,
  });
  const countJobs = (
    name: unknown,
    outcome: "within_weight" | "beyond_weight" | "refused",
    jobs: number,
  ) => {
    organisations.allow([String(name)]);
    const organisation = organisations.label(String(name));
    organisationJobs.inc({ organisation, outcome }, jobs);
  };
  const clientRefusals = new Counter({
    name: "lagoonloom_clients_refused_total",
    help: "Clients refused because of the limits on them, by port and reason.",
    labelNames: ["port", "reason"] as const,
    registers,
  });
  const memberCallFailures = new Histogram({
    name: "lagoonloom_member_call_failure_seconds",
    help: "Time until a call to another member failed, by call and by the " +
      "state of the connection.",
    labelNames: ["call", "connection"] as const,
    buckets: CALL_BUCKETS_S,
    registers,
  });
  return {
    registry,
    observe({ id }, fields) {
      counts.inc({ id });
      if (id === JOB_LOG_EVENTS.jobAccepted.id) {
        const name = String(fields["queue"]);
        queues.allow([name]);
        const queue = queues.label(name);
        acceptances.observe({ queue }, toSeconds(fields["tookMs"]));
      } else if (id === JOB_LOG_EVENTS.runEnded.id) {
        runs.observe(
          { how: String(fields["how"]) },
          toSeconds(fields["ranMs"]),
        );
      } else if (id === JOB_LOG_EVENTS.clientRefused.id) {
        const port = String(fields["port"]);
        const reason = String(fields["reason"]);
        clientRefusals.inc({ port, reason }, Number(fields["refused"]));
      } else if (id === JOB_LOG_EVENTS.memberCallFailed.id) {
        const call = String(fields["call"]);
        const connection = String(fields["connection"]);
        memberCallFailures.observe(
          { call, connection },
          toSeconds(fields["tookMs"]),
        );
      } else if (id === JOB_LOG_EVENTS.taskPlaced.id) {
        const width = widthOf(Number(fields["cpu"]));
        waits.observe({ width }, toSeconds(fields["waitedMs"]));
      } else if (id === JOB_LOG_EVENTS.roomReserved.id) {
        reservations.inc({ outcome: "made" });
      } else if (id === JOB_LOG_EVENTS.reservationMoved.id) {
        reservations.inc({ outcome: "moved" });
      } else if (id === JOB_LOG_EVENTS.reservationOver.id) {
        const outcome = fields["isKept"] === true ? "kept" : "missed";
        reservations.inc({ outcome });
      } else if (id === JOB_LOG_EVENTS.takeoverComplete.id) {
        takeovers.observe(toSeconds(fields["tookMs"]));
      } else if (id === JOB_LOG_EVENTS.keysRejected.id) {
        countRefused(fields, "unknown_key");
      } else if (id === JOB_LOG_EVENTS.callsOutdated.id) {
        countRefused(fields, "outdated");
      } else if (id === JOB_LOG_EVENTS.jobBeyondWeight.id) {
        countJobs(fields["organisation"], "refused", 1);
      } else if (id === JOB_LOG_EVENTS.organisationJobs.id) {
        const name = fields["organisation"];
        const beyond = Number(fields["beyondWeight"]);
        countJobs(name, "within_weight", Number(fields["jobs"]) - beyond);
        countJobs(name, "beyond_weight", beyond);
      }
    },
    readConfigurationAge(readMs) {
      new Gauge({
        name: "lagoonloom_job_configuration_age_seconds",
        help: "Time since the configuration was certainly the newest one.",
        registers,
        collect() {
          this.set(toSeconds(readMs()));
        },
      });
    },
    readServedCalls(read) {
      new Counter({
        name: "lagoonloom_member_calls_served_total",
        help: "Calls of other members that were served, by call.",
        labelNames: ["call"] as const,
        registers,
        collect() {
          this.reset();
          for (const [call, count] of read()) this.inc({ call }, count);
        },
      });
    },
  };
}

function widthOf(cpu: number): string {
  return WIDTHS.find(({ maxCpu }) => cpu <= maxCpu)?.width ?? "over_16_cores";
}

function toSeconds(ms: unknown): number {
  return Number(ms) / 1_000;
}
