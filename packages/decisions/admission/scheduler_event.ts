import type { QueuedRequest } from "./queued_request.ts";
import type { RemoteSlots, Topology } from "./topology.ts";

/** Input of the scheduler. */
export type SchedulerEvent =
  | { type: "arrived"; request: QueuedRequest }
  | {
    type: "finished";
    id: string;
    host: string;
    slot: number;
    runMs: number;
    result: "succeeded" | "failed" | "abandoned";
  }
  /** The caller of a queued request has gone. */
  | { type: "cancelled"; id: string }
  /** A forwarded request came back as not run. */
  | { type: "returned"; id: string; member: string }
  /** A forwarded request ended. */
  | { type: "forward-ended"; id: string }
  | { type: "topology"; topology: Topology }
  | { type: "remote-slots"; slots: readonly RemoteSlots[] }
  | { type: "tick" };
