import type { QueuedRequest } from "./queued_request.ts";
import type { RemoteSlots, Topology } from "./topology.ts";

/** Input of {@linkcode advanceScheduler}. */
export type SchedulerEvent =
  | { type: "arrived"; request: QueuedRequest }
  /** A request that was started here has ended or was abandoned. */
  | {
    type: "finished";
    id: string;
    host: string;
    slot: number;
    runMs: number;
    result: "succeeded" | "failed" | "abandoned";
  }
  /** The caller of a waiting request has disconnected. */
  | { type: "cancelled"; id: string }
  /** Another entry host returned a forwarded request without running it. */
  | { type: "returned"; id: string; member: string }
  /** A forwarded request has ended at another entry host. */
  | { type: "forward-ended"; id: string }
  /** The topology has changed. */
  | { type: "topology"; topology: Topology }
  /** Other entry hosts reported their free and lent slots. */
  | { type: "remote-slots"; slots: readonly RemoteSlots[] }
  /** Time has passed. */
  | { type: "tick" };
