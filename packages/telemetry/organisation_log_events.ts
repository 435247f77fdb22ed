import type { LogEvent } from "./log_event.ts";

/** Log events about organisations: their keys, weights and caps. */
export const ORGANISATION_LOG_EVENTS = {
  organisationUnreadable: {
    id: "LL6021",
    level: "warn",
    message: "part of an organisation in the configuration can't be decoded",
    fields: { version: "number", problem: "string" },
  },
  configurationFromMember: {
    id: "LL6022",
    level: "info",
    message: "newer configuration comes from another member",
    fields: { address: "string", version: "number", ageMs: "number" },
  },
  keysRejected: {
    id: "LL6121",
    level: "warn",
    message: "calls were refused, since no organisation has their key",
    fields: { queue: "string", calls: "number" },
  },
  callsOutdated: {
    id: "LL6122",
    level: "warn",
    message: "calls with keys were refused, since the configuration is too old",
    fields: { queue: "string", calls: "number", ageMs: "number" },
  },
  jobIdInUse: {
    id: "LL6123",
    level: "warn",
    message:
      "another organisation has sent the id of a job, which stays as it is",
    fields: { job: "string", partition: "number" },
  },
  jobBeyondWeight: {
    id: "LL6124",
    level: "warn",
    message: "job was refused: its service is full, its organisation sends " +
      "more than its weight",
    fields: {
      job: "string",
      queue: "string",
      organisation: "string",
      retryAfterMs: "number",
    },
  },
  organisationJobs: {
    id: "LL6320",
    level: "info",
    message: "jobs of an organisation in the last ten seconds",
    fields: {
      organisation: "string",
      partition: "number",
      weight: "number",
      jobs: "number",
      beyondWeight: "number",
    },
  },
  organisationAtCap: {
    id: "LL6321",
    level: "info",
    message: "tasks of an organisation wait for its cap",
    fields: {
      organisation: "string",
      partition: "number",
      mayRunCpu: "number",
      limitCpu: "number",
      capCpu: "number",
      mayRunMemoryMb: "number",
      limitMemoryMb: "number",
      capMemoryMb: "number",
      mayRunAccelerators: "number",
      limitAccelerators: "number",
      capAccelerators: "number",
    },
  },
  capBrokerReplaced: {
    id: "LL6220",
    level: "info",
    message: "another member divides the caps of organisations",
    fields: { epoch: "number" },
  },
} as const satisfies Readonly<Record<string, LogEvent>>;
