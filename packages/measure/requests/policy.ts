import {
  advanceScheduler,
  createScheduler,
  reportSlots,
  type SchedulerAction,
  type SchedulerEvent,
  type SlotReport,
  type Topology,
} from "@lagoonloom/decisions";
import { createSharedQueue } from "./shared_queue.ts";

/** Decisions of one entry host. */
export type Decider = {
  advance: (event: SchedulerEvent, nowMs: number) => SchedulerAction[];
  /** Slots per pool that the heartbeats report. */
  reportSlots: (nowMs: number) => SlotReport[];
};

/** Way to schedule requests that is measured. */
export type Policy = {
  name: string;
  /** Whether services may use the pools of others. */
  isLending: boolean;
  /** Whether one decider without delays has all slots and requests. */
  isCentral: boolean;
  createDecider: (topology: Topology) => Decider;
};

/** Policy of this project. */
export const CHOSEN: Policy = {
  name: "chosen",
  isLending: true,
  isCentral: false,
  createDecider: createSchedulerDecider,
};

/** Own pool only, with the same queues and forwarding as the chosen policy. */
export const FIXED_SHARES: Policy = {
  name: "baseline:fixed-shares",
  isLending: false,
  isCentral: false,
  createDecider: createSchedulerDecider,
};

/** One first-come queue for all services and classes, with all slots. */
export const SHARED_FIFO: Policy = {
  name: "baseline:shared-fifo",
  isLending: true,
  isCentral: true,
  createDecider: createSharedQueue,
};

function createSchedulerDecider(topology: Topology): Decider {
  const state = createScheduler({ topology });
  return {
    advance: (event, nowMs) => advanceScheduler(state, event, nowMs),
    reportSlots: (nowMs) => reportSlots(state, nowMs),
  };
}
