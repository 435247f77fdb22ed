/**
 * Prometheus metrics of the daemon on an entry host.
 *
 * @module
 */

import { Counter, Gauge, Histogram, Registry } from "prom-client";
import { createLabelAllowlist } from "./label_allowlist.ts";

/**
 * Most services, and most teams, with time series of their own; others count
 * as `other`.
 */
export const MAX_SERVICE_LABELS = 200;

/** Upper bounds of the buckets of request durations in seconds. */
const DURATION_BUCKETS_S = [
  0.002,
  0.005,
  0.01,
  0.02,
  0.05,
  0.1,
  0.2,
  0.5,
  1,
  2,
  5,
  10,
];

const URGENCY_CLASSES = ["urgent", "normal", "deferrable"];

const OUTCOMES = ["succeeded", "failed", "not-run", "unknown", "forwarded"];

/** Labels of one finished request. */
export type RequestLabels = {
  service: string;
  urgency: string;
  /** Team of the caller; if absent, no duration is recorded by team. */
  team?: string;
};

/** Metrics of one daemon. */
export type Metrics = {
  registry: Registry;
  /** Allows names of services as label values. */
  allowServices(names: Iterable<string>): void;
  /** Allows names of teams as label values. */
  allowTeams(names: Iterable<string>): void;
  /** Counts a finished request and its duration in milliseconds. */
  observeRequest(
    labels: RequestLabels,
    result: { durationMs: number; outcome: string },
  ): void;
  /** Sets the version of the object set that is in force. */
  setObjectSetVersion(version: number): void;
  /** Sets the next log offset to apply, and the time since the last read. */
  setLogPosition(position: { nextOffset: number; ageMs: number }): void;
  /** Sets the slots of executors that this entry host may use, and uses. */
  setSlots(slots: { usable: number; running: number }): void;
  /** Sets the number of stored idempotency keys and its limit. */
  setClaims(claims: { count: number; limit: number }): void;
  /** Counts a record of the control stream by its outcome. */
  countRecord(outcome: "applied" | "refused" | "duplicate"): void;
};

type Instruments = ReturnType<typeof createInstruments>;

function createInstruments(registers: Registry[]) {
  const requestLabels = ["service", "urgency"] as const;
  const gauge = (name: string, help: string) =>
    new Gauge({ name: `lagoonloom_${name}`, help, registers });
  return {
    durations: new Histogram({
      name: "lagoonloom_request_duration_seconds",
      help: "Time from a request's arrival to its end.",
      labelNames: requestLabels,
      buckets: DURATION_BUCKETS_S,
      registers,
    }),
    teamDurations: new Histogram({
      name: "lagoonloom_team_request_duration_seconds",
      help: "Time from a request's arrival to its end, by team.",
      labelNames: ["team", "urgency"] as const,
      buckets: DURATION_BUCKETS_S,
      registers,
    }),
    outcomes: new Counter({
      name: "lagoonloom_request_outcomes_total",
      help: "Finished requests by outcome.",
      labelNames: [...requestLabels, "outcome"] as const,
      registers,
    }),
    records: new Counter({
      name: "lagoonloom_records_folded_total",
      help: "Records of the control stream that were read, by outcome.",
      labelNames: ["outcome"] as const,
      registers,
    }),
    objectSetVersion: gauge(
      "set_version",
      "Version of the object set in force.",
    ),
    logOffset: gauge(
      "log_next_offset",
      "Offset of the next log record to apply.",
    ),
    logAge: gauge(
      "log_age_seconds",
      "Time since the last contact with the log.",
    ),
    usableSlots: gauge(
      "slots_usable",
      "Slots of executors that this entry host may use.",
    ),
    runningSlots: gauge(
      "slots_running",
      "Slots of executors with a running request of this entry host.",
    ),
    claims: gauge("claims", "Idempotency keys that are stored."),
    claimsLimit: gauge(
      "claims_limit",
      "Stored idempotency keys at which non-idempotent requests are refused.",
    ),
  };
}

/**
 * Creates the metrics of one daemon. Label values are bounded: an unknown
 * service, class or outcome is counted as `other`.
 *
 * @example
 * ```ts
 * const metrics = createMetrics();
 * metrics.allowServices(["quoting"]);
 * await metrics.registry.metrics();
 * ```
 */
export function createMetrics(): Metrics {
  const registry = new Registry();
  const instruments = createInstruments([registry]);
  const services = createLabelAllowlist({ maxValues: MAX_SERVICE_LABELS });
  const teams = createLabelAllowlist({ maxValues: MAX_SERVICE_LABELS });
  const urgencies = createLabelAllowlist({ maxValues: URGENCY_CLASSES.length });
  const outcomes = createLabelAllowlist({ maxValues: OUTCOMES.length });
  urgencies.allow(URGENCY_CLASSES);
  outcomes.allow(OUTCOMES);
  return {
    registry,
    allowServices: (names) => services.allow(names),
    allowTeams: (names) => teams.allow(names),
    observeRequest(labels, result) {
      const bounded = {
        service: services.label(labels.service),
        urgency: urgencies.label(labels.urgency),
      };
      const { urgency } = bounded;
      const seconds = result.durationMs / 1_000;
      instruments.durations.observe(bounded, seconds);
      if (labels.team !== undefined) {
        const team = teams.label(labels.team);
        instruments.teamDurations.observe({ team, urgency }, seconds);
      }
      instruments.outcomes.inc({
        ...bounded,
        outcome: outcomes.label(result.outcome),
      });
    },
    ...createStateSetters(instruments),
  };
}

function createStateSetters(instruments: Instruments) {
  return {
    setObjectSetVersion: (version: number) =>
      instruments.objectSetVersion.set(version),
    setLogPosition(position: { nextOffset: number; ageMs: number }) {
      instruments.logOffset.set(position.nextOffset);
      instruments.logAge.set(position.ageMs / 1_000);
    },
    setSlots(slots: { usable: number; running: number }) {
      instruments.usableSlots.set(slots.usable);
      instruments.runningSlots.set(slots.running);
    },
    setClaims(claims: { count: number; limit: number }) {
      instruments.claims.set(claims.count);
      instruments.claimsLimit.set(claims.limit);
    },
    countRecord(outcome: "applied" | "refused" | "duplicate") {
      instruments.records.inc({ outcome });
    },
  };
}
