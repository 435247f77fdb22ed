/**
 * Slots that requests of this entry host may be using.
 *
 * @module
 */

import type {
  SchedulerAction,
  SchedulerEvent,
  SlotKey,
} from "@lagoonloom/decisions";

/** Slots on which an executor may be running a request of this entry host. */
export type RunningSlots = {
  /** Updates the slots after an event of the scheduler and its actions. */
  observe(
    event: SchedulerEvent,
    actions: readonly SchedulerAction[],
    nowMs: number,
  ): void;
  /** Returns the slots that may be in use. */
  list(nowMs: number): SlotKey[];
};

/** Options of {@linkcode createRunningSlots}. */
export type RunningSlotsOptions = {
  /** Longest run time of a request in milliseconds. */
  longestRequestMs: number;
};

/**
 * Tracks which slots a scheduler uses. The executor may still run a request
 * that did not succeed, for example one that missed its deadline. Its slot
 * therefore counts as used until the longest run time has passed.
 *
 * @example
 * ```ts
 * const running = createRunningSlots({ longestRequestMs: 10_000 });
 * running.list(performance.now());
 * ```
 */
export function createRunningSlots(
  options: RunningSlotsOptions,
): RunningSlots {
  const running = new Map<SlotKey, number>();
  const mayRunUntilMs = new Map<SlotKey, number>();
  return {
    observe(event, actions, nowMs) {
      if (event.type === "finished") {
        const key: SlotKey = `${event.host}/${event.slot}`;
        const startedAtMs = running.get(key) ?? nowMs - event.runMs;
        running.delete(key);
        if (event.result !== "succeeded") {
          mayRunUntilMs.set(key, startedAtMs + options.longestRequestMs);
        }
      }
      for (const action of actions) {
        if (action.type !== "start") continue;
        running.set(`${action.host}/${action.slot}`, nowMs);
      }
    },
    list(nowMs) {
      for (const [key, untilMs] of mayRunUntilMs) {
        if (untilMs <= nowMs) mayRunUntilMs.delete(key);
      }
      return [...new Set([...running.keys(), ...mayRunUntilMs.keys()])];
    },
  };
}
