import type { LogEvent } from "./log_event.ts";

/**
 * Log events of the executors and their machines, as the owners of partitions
 * see them. The second digit of a number is 4 for executors and 5 for machines.
 */
export const EXECUTOR_LOG_EVENTS = {
  executorFound: {
    id: "LL6401",
    level: "info",
    message: "executor was found and may get tasks",
    fields: { executor: "string", service: "string", partition: "number" },
  },
  executorGone: {
    id: "LL6402",
    level: "info",
    message: "executor is no longer on the platform's list",
    fields: { executor: "string", runs: "number" },
  },
  executorSilent: {
    id: "LL6403",
    level: "warn",
    message: "executor does not answer",
    fields: { executor: "string", runs: "number", reason: "string" },
  },
  executorAnswering: {
    id: "LL6406",
    level: "info",
    message: "executor answers again",
    fields: { executor: "string", silentMs: "number" },
  },
  executorEnded: {
    id: "LL6407",
    level: "info",
    message: "silent executor has ended, since no machine has it",
    fields: { executor: "string" },
  },
  executorWaitOver: {
    id: "LL6410",
    level: "warn",
    message: "takeover waits no longer for a silent executor",
    fields: { executor: "string", partition: "number" },
  },
  executorLost: {
    id: "LL6408",
    level: "warn",
    message: "runs are lost, since their executor has crashed or is cut off",
    fields: {
      executor: "string",
      runs: "number",
      justStarted: "string",
      hasCrashed: "boolean",
    },
  },
  runsGivenUp: {
    id: "LL6411",
    level: "warn",
    message: "runs count as ended without a report of their executor",
    fields: {
      executor: "string",
      runs: "number",
      evidence: "string",
      startedAtMs: "number",
      silentMs: "number",
      leaseOverMs: "number",
      confirmedMs: "number",
    },
  },
  executorRestarted: {
    id: "LL6412",
    level: "info",
    message: "another process has the id of an executor",
    fields: {
      executor: "string",
      runs: "number",
      shownBy: "string",
      startedAtMs: "number",
    },
  },
  executorTakenAway: {
    id: "LL6413",
    level: "info",
    message: "executor has ended, since its machine was moved or maintained",
    fields: { executor: "string" },
  },
  lossResolved: {
    id: "LL6409",
    level: "info",
    message: "it is clear whether a lost executor has crashed",
    fields: { executor: "string", hasCrashed: "boolean" },
  },
  executorSlow: {
    id: "LL6405",
    level: "warn",
    message: "executor gets no work, since runs there are slow",
    fields: { executor: "string", forMs: "number" },
  },
  executorSuspended: {
    id: "LL6404",
    level: "warn",
    message: "executor gets no work after failures of several jobs",
    fields: { executor: "string", failures: "number", forMs: "number" },
  },
  machineOrdered: {
    id: "LL6501",
    level: "info",
    message: "move or maintenance of a machine was requested",
    fields: {
      machine: "string",
      order: "string",
      pool: "string",
      epoch: "number",
      outcome: "string",
      reason: "string",
    },
  },
  poolShort: {
    id: "LL6503",
    level: "info",
    message: "pool has fewer machines than its demand needs",
    fields: {
      pool: "string",
      cpu: "number",
      machines: "number",
      missing: "number",
      ordered: "number",
      inUpkeep: "number",
      toStandby: "number",
      idleElsewhere: "number",
    },
  },
  waveCompleted: {
    id: "LL6502",
    level: "info",
    message: "maintenance wave is complete",
    fields: {
      wave: "number",
      machines: "number",
    },
  },
} as const satisfies Readonly<Record<string, LogEvent>>;
