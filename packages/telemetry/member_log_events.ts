import type { LogEvent } from "./log_event.ts";

/**
 * Log events about the calls between members, and about a member that does not
 * run. A number of -1 means that there is none, as does an empty text.
 */
export const MEMBER_LOG_EVENTS = {
  processHeldUp: {
    id: "LL6009",
    level: "warn",
    message: "process did not run for a while",
    fields: { heldUpMs: "number", usedCpuMs: "number" },
  },
  showFailed: {
    id: "LL6104",
    level: "warn",
    message: "state of a job could not be fetched for its caller",
    fields: {
      job: "string",
      queue: "string",
      partition: "number",
      owner: "string",
      calls: "number",
      tookMs: "number",
      reason: "string",
    },
  },
  storedStatesShown: {
    id: "LL6112",
    level: "warn",
    message: "owner of a partition is silent; the store tells the states",
    fields: { partition: "number", owner: "string", silentMs: "number" },
  },
  ownerAnswersAgain: {
    id: "LL6113",
    level: "info",
    message: "owner of a partition tells the states of its jobs again",
    fields: { partition: "number", silentMs: "number" },
  },
  memberCallFailed: {
    id: "LL6209",
    level: "warn",
    message: "call to another member failed",
    fields: {
      address: "string",
      call: "string",
      partition: "number",
      job: "string",
      code: "string",
      reason: "string",
      tookMs: "number",
      timeoutMs: "number",
      connection: "string",
      silentMs: "number",
    },
  },
  ownerReported: {
    id: "LL6214",
    level: "warn",
    message: "owner of partitions gives no answer, which is reported to others",
    fields: {
      address: "string",
      silentMs: "number",
      failures: "number",
      reached: "number",
    },
  },
  ownerReportWithdrawn: {
    id: "LL6215",
    level: "info",
    message: "report that an owner gives no answer is withdrawn",
    fields: { address: "string", silentMs: "number" },
  },
  ownerIsolated: {
    id: "LL6216",
    level: "warn",
    message:
      "most owners get no answer from this member; it gives up its partitions",
    fields: { reporters: "number", owners: "number", asideMs: "number" },
  },
  ownerReached: {
    id: "LL6217",
    level: "info",
    message: "member may own partitions again",
    fields: { asideMs: "number" },
  },
} as const satisfies Readonly<Record<string, LogEvent>>;
