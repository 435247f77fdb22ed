import type { EventLog } from "@lagoonloom/telemetry";

/** Writer of the numbered events of the life of jobs. */
export type JobEventLog = Pick<EventLog, "log">;
