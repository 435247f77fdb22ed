import type { CallFailure } from "@lagoonloom/peers";
import type { JobEventLog } from "./job_event_log.ts";

/** Logs a call to another member that failed. */
export function logCallFailure(
  events: JobEventLog,
  address: string,
  failure: CallFailure,
): void {
  const { call, partition = -1, job = "", code, reason, connection } = failure;
  const { tookMs, timeoutMs, silentMs = -1 } = failure;
  events.log("memberCallFailed", {
    address,
    call,
    partition,
    job,
    code,
    reason,
    tookMs: Math.round(tookMs),
    timeoutMs,
    connection,
    silentMs: Math.round(silentMs),
  });
}
