import type {
  SchedulerAction,
  SchedulerEvent,
  SlotReport,
} from "@lagoonloom/decisions";

/** Scheduler of one entry host. */
export type RequestScheduler = {
  /** Handles an event and returns the actions to perform. */
  advance: (event: SchedulerEvent, nowMs: number) => SchedulerAction[];
  /** Returns the slots of each pool that a heartbeat reports. */
  reportSlots: (nowMs: number) => SlotReport[];
};
