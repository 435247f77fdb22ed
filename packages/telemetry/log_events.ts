/**
 * Catalogue of all log events.
 *
 * @module
 */

import { JOB_LOG_EVENTS } from "./job_log_events.ts";
import type { LogEvent, LogFieldType } from "./log_event.ts";

/**
 * All log events. Numbers start with 1 for the process, 2 for the platform log
 * and the object set, 3 for membership and peers, 4 for requests, 5 for
 * capacity and maintenance, 6 for jobs on the users' platform. `docs/events.md`
 * lists them as well, and a test compares the two.
 */
export const LOG_EVENTS = {
  daemonStarted: {
    id: "LL1001",
    level: "info",
    message: "daemon started",
    fields: { member: "string", incarnation: "string", dataCentre: "string" },
  },
  daemonReady: {
    id: "LL1002",
    level: "info",
    message: "daemon is ready",
    fields: { nextOffset: "number", setVersion: "number" },
  },
  daemonStopping: {
    id: "LL1003",
    level: "info",
    message: "daemon is stopping and finishes the running requests",
    fields: { signal: "string" },
  },
  daemonStopped: {
    id: "LL1004",
    level: "info",
    message: "daemon stopped",
    fields: { drained: "boolean" },
  },
  settingsRefused: {
    id: "LL1005",
    level: "error",
    message: "settings file is not valid",
    fields: { problem: "string" },
  },
  unexpectedFailure: {
    id: "LL1006",
    level: "error",
    message: "unexpected failure in a background task",
    fields: { task: "string", error: "string" },
  },
  listenerFailed: {
    id: "LL1007",
    level: "error",
    message: "listener failed",
    fields: { listener: "string", error: "string" },
  },
  stateLoaded: {
    id: "LL2001",
    level: "info",
    message: "state loaded",
    fields: { source: "string", nextOffset: "number" },
  },
  logUnreachable: {
    id: "LL2002",
    level: "warn",
    message: "platform log is unreachable",
    fields: { stream: "string", reason: "string" },
  },
  logReachable: {
    id: "LL2003",
    level: "info",
    message: "platform log is reachable again",
    fields: { stream: "string" },
  },
  retentionPassed: {
    id: "LL2004",
    level: "warn",
    message:
      "platform log no longer retains the next record that this daemon needs",
    fields: { nextOffset: "number", oldestOffset: "number" },
  },
  setInForce: {
    id: "LL2005",
    level: "info",
    message: "new version of the object set is in force",
    fields: { version: "number", operator: "string" },
  },
  publicationRefused: {
    id: "LL2006",
    level: "info",
    message: "publication refused",
    fields: { id: "string", reason: "string" },
  },
  publicationUnknown: {
    id: "LL2007",
    level: "warn",
    message: "outcome of a publication is unknown",
    fields: { id: "string", reason: "string" },
  },
  checkpointAppended: {
    id: "LL2008",
    level: "info",
    message: "checkpoint appended",
    fields: { offset: "number", chunks: "number" },
  },
  recordRefused: {
    id: "LL2009",
    level: "debug",
    message: "log record was refused and not applied",
    fields: { offset: "number", reason: "string" },
  },
  memberJoined: {
    id: "LL3001",
    level: "info",
    message: "entry host joined",
    fields: { member: "string", incarnation: "string" },
  },
  memberGone: {
    id: "LL3002",
    level: "info",
    message: "entry host left or was lost",
    fields: { member: "string", incarnation: "string" },
  },
  watcherNamed: {
    id: "LL3003",
    level: "info",
    message: "entry host chose the member that monitors its heartbeats",
    fields: { watcher: "string" },
  },
  lossReported: {
    id: "LL3004",
    level: "warn",
    message: "entry host sends no heartbeats and is reported as lost",
    fields: { member: "string", silentMs: "number" },
  },
  slotRightsLost: {
    id: "LL3005",
    level: "warn",
    message:
      "right to use executor slots expired; no requests are sent to executors",
    fields: {},
  },
  slotRightsRegained: {
    id: "LL3006",
    level: "info",
    message: "right to use executor slots is valid again",
    fields: {},
  },
  hostListUnreachable: {
    id: "LL3007",
    level: "warn",
    message: "host list of the platform is unreachable",
    fields: { reason: "string" },
  },
  deciderBegan: {
    id: "LL5001",
    level: "info",
    message: "this entry host now decides on capacity, maintenance and jobs",
    fields: { scope: "string" },
  },
  deciderEnded: {
    id: "LL5002",
    level: "info",
    message:
      "this entry host no longer decides on capacity, maintenance and jobs",
    fields: { scope: "string" },
  },
  decisionAppended: {
    id: "LL5003",
    level: "info",
    message: "decision appended to the log",
    fields: { record: "string", subject: "string", outcome: "string" },
  },
  hostRestartAsked: {
    id: "LL5004",
    level: "info",
    message: "platform asked to restart a host",
    fields: { host: "string", outcome: "string" },
  },
  exchangeFailed: {
    id: "LL4001",
    level: "debug",
    message: "exchange with an executor failed",
    fields: { host: "string", reason: "string", notRun: "boolean" },
  },
  wrongAnswer: {
    id: "LL4002",
    level: "warn",
    message: "executor answered with the id of another request",
    fields: { host: "string" },
  },
  ordersRefused: {
    id: "LL4003",
    level: "warn",
    message:
      "non-idempotent requests are refused, since their keys can't be checked",
    fields: { reason: "string" },
  },
  ordersAccepted: {
    id: "LL4004",
    level: "info",
    message: "non-idempotent requests are accepted again",
    fields: {},
  },
  claimsNearlyFull: {
    id: "LL4005",
    level: "warn",
    message:
      "non-idempotent requests will soon be refused: too many stored keys",
    fields: { claims: "number", limit: "number" },
  },
  jobPlaced: {
    id: "LL5101",
    level: "info",
    message: "job placed",
    fields: {
      job: "string",
      attempt: "number",
      worker: "string",
      reason: "string",
    },
  },
  jobEnded: {
    id: "LL5102",
    level: "info",
    message: "attempt of a job ended",
    fields: {
      job: "string",
      attempt: "number",
      outcome: "string",
      reason: "string",
    },
  },
  jobParked: {
    id: "LL5103",
    level: "warn",
    message: "job is parked and will not be retried",
    fields: { job: "string", reason: "string" },
  },
  jobBlocked: {
    id: "LL5104",
    level: "warn",
    message: "job can't run on any worker",
    fields: { job: "string", reason: "string" },
  },
  workerChanged: {
    id: "LL5105",
    level: "warn",
    message: "worker suspended, on trial or restored",
    fields: { worker: "string", state: "string", reason: "string" },
  },
  taskCallFailed: {
    id: "LL5106",
    level: "debug",
    message: "call to a worker failed",
    fields: { worker: "string", call: "string", reason: "string" },
  },
  leasesKept: {
    id: "LL5107",
    level: "warn",
    message: "log is unreachable; running tasks are kept, nothing is placed",
    fields: { dataCentre: "string" },
  },
  ...JOB_LOG_EVENTS,
} as const satisfies Readonly<Record<string, LogEvent>>;

/** Name of a log event. */
export type LogEventName = keyof typeof LOG_EVENTS;

type FieldValue = { string: string; number: number; boolean: boolean };

/** Values of the fields of a log event. */
export type LogEventFields<Name extends LogEventName> = {
  [Field in keyof (typeof LOG_EVENTS)[Name]["fields"]]:
    (typeof LOG_EVENTS)[Name]["fields"][Field] extends LogFieldType
      ? FieldValue[(typeof LOG_EVENTS)[Name]["fields"][Field]]
      : never;
};
