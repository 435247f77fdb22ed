/**
 * Scheduling policies that are compared.
 *
 * @module
 */

import {
  advanceScheduler,
  createScheduler,
  reportSlots,
  type Topology,
} from "@lagoonloom/decisions";
import type { RequestScheduler } from "./request_scheduler.ts";
import { createSharedQueue } from "./shared_queue.ts";

/** Policy by which requests are scheduled. */
export type Policy = {
  name: string;
  /** Whether services may borrow slots of other pools. */
  mayBorrow: boolean;
  /** Whether one scheduler gets all slots and requests, without latencies. */
  isCentral: boolean;
  createScheduler: (topology: Topology) => RequestScheduler;
};

/** Policy of the entry hosts in this project. */
export const CHOSEN: Policy = {
  name: "chosen",
  mayBorrow: true,
  isCentral: false,
  createScheduler: createEntryHostScheduler,
};

/**
 * Baseline in which services use only their home pool. Queues and forwarding
 * are those of the chosen policy.
 */
export const FIXED_SHARES: Policy = {
  name: "baseline:fixed-shares",
  mayBorrow: false,
  isCentral: false,
  createScheduler: createEntryHostScheduler,
};

/** Baseline with one FIFO queue for all requests and slots. */
export const SHARED_FIFO: Policy = {
  name: "baseline:shared-fifo",
  mayBorrow: true,
  isCentral: true,
  createScheduler: createSharedQueue,
};

function createEntryHostScheduler(topology: Topology): RequestScheduler {
  const state = createScheduler({ topology });
  return {
    advance: (event, nowMs) => advanceScheduler(state, event, nowMs),
    reportSlots: (nowMs) => reportSlots(state, nowMs),
  };
}
