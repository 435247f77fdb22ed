import { EXECUTOR_LOG_EVENTS } from "./executor_log_events.ts";
import type { LogEvent } from "./log_event.ts";
import { MEMBER_LOG_EVENTS } from "./member_log_events.ts";
import { ORGANISATION_LOG_EVENTS } from "./organisation_log_events.ts";

/** Fields of an append of progress that the store did not take. */
const APPEND_FAILURE_FIELDS = {
  partition: "number",
  reason: "string",
  records: "number",
  largestKey: "string",
  largestBytes: "number",
} as const;

/**
 * Log events of members that run jobs on the users' platform. The second digit
 * of a number is 0 for the process, 1 for callers, 2 for the ownership of
 * partitions, 3 for tasks, 4 for executors and 5 for machines.
 */
export const JOB_LOG_EVENTS = {
  memberStarted: {
    id: "LL6001",
    level: "info",
    message: "member started",
    fields: { node: "string", member: "string", configuration: "number" },
  },
  memberStopping: {
    id: "LL6002",
    level: "info",
    message: "member is leaving and finishes its requests",
    fields: { signal: "string" },
  },
  memberStopped: {
    id: "LL6003",
    level: "info",
    message: "member stopped",
    fields: { open: "number" },
  },
  settingsTaken: {
    id: "LL6007",
    level: "info",
    message: "changed settings are in force",
    fields: { graceMs: "number" },
  },
  clientLimits: {
    id: "LL6008",
    level: "info",
    message: "limits on what clients hold are in force",
    fields: {
      maxBytes: "number",
      maxConnections: "number",
      maxRequestsAhead: "number",
      pauseRequests: "number",
      smallChunksPerS: "number",
      maxProbeConnections: "number",
      maxPeerConnections: "number",
      maxPeerBytes: "number",
    },
  },
  clientRefused: {
    id: "LL6107",
    level: "warn",
    message: "clients were refused because of the limits on what they hold",
    fields: { port: "string", reason: "string", refused: "number" },
  },
  configurationTaken: {
    id: "LL6004",
    level: "info",
    message: "configuration is in force",
    fields: { version: "number", queues: "number", ageMs: "number" },
  },
  platformSilent: {
    id: "LL6005",
    level: "warn",
    message: "platform's store did not answer a read",
    fields: { topic: "string", reason: "string" },
  },
  recordUnreadable: {
    id: "LL6006",
    level: "warn",
    message: "record in the platform's store can't be decoded and is ignored",
    fields: { partition: "number", key: "string" },
  },
  jobAccepted: {
    id: "LL6101",
    level: "info",
    message: "job is stored",
    fields: {
      job: "string",
      queue: "string",
      position: "string",
      tookMs: "number",
    },
  },
  jobNotAccepted: {
    id: "LL6102",
    level: "warn",
    message: "job was not accepted",
    fields: {
      job: "string",
      queue: "string",
      reason: "string",
      outcome: "string",
    },
  },
  cancellationStored: {
    id: "LL6103",
    level: "info",
    message: "cancellation of a job is stored",
    fields: { job: "string", position: "string" },
  },
  cancellationRead: {
    id: "LL6105",
    level: "info",
    message: "owner of the partition has read a cancellation",
    fields: {
      job: "string",
      partition: "number",
      offset: "number",
      isKnown: "boolean",
    },
  },
  queueServiceStored: {
    id: "LL6106",
    level: "info",
    message: "queue accepts its first job for a service",
    fields: { queue: "string", service: "string", earlier: "number" },
  },
  queueHomeStored: {
    id: "LL6108",
    level: "info",
    message: "queue has its home at a service from now on",
    fields: { queue: "string", service: "string" },
  },
  jobForwarded: {
    id: "LL6109",
    level: "info",
    message: "job is handed on to the partition of its service",
    fields: {
      job: "string",
      partition: "number",
      to: "number",
      service: "string",
    },
  },
  forwardingDelayed: {
    id: "LL6110",
    level: "warn",
    message: "jobs could not be handed on to the partition of their service",
    fields: {
      partition: "number",
      to: "number",
      jobs: "number",
      reason: "string",
    },
  },
  jobRepeated: {
    id: "LL6111",
    level: "info",
    message: "job has come again for another service and stays where it is",
    fields: {
      job: "string",
      partition: "number",
      offset: "number",
      service: "string",
    },
  },
  jobsUnread: {
    id: "LL6211",
    level: "warn",
    message: "owner of a partition gets no answer to a read of new jobs",
    fields: { partition: "number", offset: "number", reason: "string" },
  },
  jobsReadAgain: {
    id: "LL6212",
    level: "info",
    message: "owner of a partition reads new jobs again",
    fields: { partition: "number", offset: "number", silentMs: "number" },
  },
  ownersChanged: {
    id: "LL6201",
    level: "info",
    message: "owners of the partitions changed",
    fields: { generation: "number", partitions: "number" },
  },
  joinFailed: {
    id: "LL6202",
    level: "warn",
    message: "membership in the group of partition owners could not be renewed",
    fields: { reason: "string" },
  },
  partitionDealt: {
    id: "LL6203",
    level: "info",
    message: "partition is taken over",
    fields: { partition: "number", epoch: "number" },
  },
  partitionLoaded: {
    id: "LL6204",
    level: "info",
    message: "state of a partition is loaded",
    fields: {
      partition: "number",
      epoch: "number",
      jobs: "number",
      cancelled: "number",
      nextOffset: "number",
      unreadable: "number",
      executors: "number",
      hasHandover: "boolean",
      tookMs: "number",
    },
  },
  loadDelayed: {
    id: "LL6205",
    level: "warn",
    message: "state of a partition could not be loaded yet",
    fields: { partition: "number", reason: "string", tookMs: "number" },
  },
  takeoverComplete: {
    id: "LL6206",
    level: "info",
    message:
      "takeover of a partition is complete: the state of every run is known",
    fields: { partition: "number", epoch: "number", tookMs: "number" },
  },
  partitionReleased: {
    id: "LL6207",
    level: "info",
    message: "partition is given up",
    fields: { partition: "number", epoch: "number" },
  },
  partitionLost: {
    id: "LL6208",
    level: "warn",
    message: "partition was taken over by another owner",
    fields: { partition: "number", epoch: "number", reason: "string" },
  },
  partitionSuperseded: {
    id: "LL6213",
    level: "warn",
    message:
      "another member has owned a partition in between; it is taken over again",
    fields: { partition: "number", epoch: "number", generation: "number" },
  },
  ownersLeft: {
    id: "LL6210",
    level: "info",
    message: "group of partition owners is left to other members",
    fields: { generation: "number", partitions: "number" },
  },
  jobTaken: {
    id: "LL6301",
    level: "info",
    message: "owner of the partition has read a new job",
    fields: { job: "string", partition: "number", offset: "number" },
  },
  taskPlaced: {
    id: "LL6302",
    level: "info",
    message: "task is placed",
    fields: {
      task: "string",
      run: "number",
      executor: "string",
      cpu: "number",
      waitedMs: "number",
      reason: "string",
    },
  },
  startRefused: {
    id: "LL6303",
    level: "warn",
    message: "executor did not start a task",
    fields: {
      task: "string",
      run: "number",
      executor: "string",
      reason: "string",
    },
  },
  runAdopted: {
    id: "LL6304",
    level: "info",
    message: "running task of an earlier owner is adopted",
    fields: { task: "string", run: "number", executor: "string" },
  },
  runStopping: {
    id: "LL6305",
    level: "info",
    message: "run is stopped",
    fields: {
      task: "string",
      run: "number",
      executor: "string",
      reason: "string",
    },
  },
  runEnded: {
    id: "LL6306",
    level: "info",
    message: "run ended",
    fields: {
      task: "string",
      run: "number",
      executor: "string",
      how: "string",
      ranMs: "number",
    },
  },
  jobFinished: {
    id: "LL6307",
    level: "info",
    message: "job ended",
    fields: { job: "string", state: "string", reason: "string" },
  },
  jobsForgotten: {
    id: "LL6309",
    level: "info",
    message: "ended jobs are deleted, since their retention time is over",
    fields: { partition: "number", jobs: "number" },
  },
  taskWaiting: {
    id: "LL6310",
    level: "warn",
    message: "lasting task does not run",
    fields: { task: "string", waitedMs: "number", reason: "string" },
  },
  taskSuspected: {
    id: "LL6311",
    level: "warn",
    message: "executor crashed just after a start of the task",
    fields: {
      task: "string",
      run: "number",
      executor: "string",
      isConfirmed: "boolean",
      startedLast: "boolean",
      crashes: "number",
      waitMs: "number",
    },
  },
  endReadLate: {
    id: "LL6312",
    level: "warn",
    message: "a run of an earlier owner has ended whose task runs again",
    fields: {
      task: "string",
      run: "number",
      executor: "string",
      how: "string",
    },
  },
  roomReserved: {
    id: "LL6314",
    level: "info",
    message: "room that is expected soon is reserved for tasks of a step",
    fields: {
      step: "string",
      tasks: "number",
      cpu: "number",
      aheadMs: "number",
    },
  },
  reservationMoved: {
    id: "LL6315",
    level: "info",
    message: "reserved room is expected later than before",
    fields: { step: "string", laterMs: "number", reason: "string" },
  },
  reservationOver: {
    id: "LL6316",
    level: "info",
    message: "a reservation was kept, or given up as it was missed",
    fields: { step: "string", isKept: "boolean", waitedMs: "number" },
  },
  progressDelayed: {
    id: "LL6308",
    level: "warn",
    message: "progress could not be stored yet",
    fields: APPEND_FAILURE_FIELDS,
  },
  progressRejected: {
    id: "LL6313",
    level: "error",
    message: "the store will never take a value, which is dropped",
    fields: APPEND_FAILURE_FIELDS,
  },
  ...EXECUTOR_LOG_EVENTS,
  ...MEMBER_LOG_EVENTS,
  ...ORGANISATION_LOG_EVENTS,
} as const satisfies Readonly<Record<string, LogEvent>>;
