import type { EventLog } from "@lagoonloom/telemetry";

/** Log of the numbered events of jobs, executors and partitions. */
export type JobEventLog = Pick<EventLog, "log">;
