import type {
  SchedulerAction,
  SchedulerEvent,
  SlotKey,
} from "@lagoonloom/decisions";

/** Slots on which an executor may run a request of this entry host. */
export type RunningSlots = {
  /** Notes the slots that an event and the resulting actions change. */
  observe(
    event: SchedulerEvent,
    actions: readonly SchedulerAction[],
    nowMs: number,
  ): void;
  list(nowMs: number): SlotKey[];
};

/** Options of {@linkcode createRunningSlots}. */
export type RunningSlotsOptions = {
  /** Longest run time of a request in milliseconds. */
  longestRequestMs: number;
};

/**
 * Notes which slots a scheduler uses. A request that did not succeed, for
 * example at its deadline, may go on running on the executor, so that its slot
 * counts as used for the longest run time.
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
