import type {
  SchedulerAction,
  SchedulerEvent,
  SlotKey,
} from "@lagoonloom/decisions";

/** Scheduler of an entry host. */
export type Schedule = (
  event: SchedulerEvent,
  nowMs: number,
) => readonly SchedulerAction[];

/** Slots on which an executor may run a request of this entry host. */
export type RunningSlots = {
  /** Scheduler whose starts and ends are noted. */
  schedule: Schedule;
  list(nowMs: number): SlotKey[];
};

/** Options of {@linkcode createRunningSlots}. */
export type RunningSlotsOptions = {
  /** Longest run time of a request in milliseconds. */
  longestRequestMs: number;
};

/**
 * Notes which slots a scheduler uses. A request that was abandoned may go on
 * running on the executor, so its slot counts as used for the longest run time.
 *
 * @example
 * ```ts
 * const running = createRunningSlots(schedule, { longestRequestMs: 10_000 });
 * running.list(performance.now());
 * ```
 */
export function createRunningSlots(
  schedule: Schedule,
  options: RunningSlotsOptions,
): RunningSlots {
  const running = new Map<SlotKey, number>();
  const abandonedUntilMs = new Map<SlotKey, number>();
  return {
    schedule(event, nowMs) {
      if (event.type === "finished") {
        const key: SlotKey = `${event.host}/${event.slot}`;
        running.delete(key);
        if (event.result === "abandoned") {
          const startedAtMs = nowMs - event.runMs;
          abandonedUntilMs.set(key, startedAtMs + options.longestRequestMs);
        }
      }
      const actions = schedule(event, nowMs);
      for (const action of actions) {
        if (action.type !== "start") continue;
        running.set(`${action.host}/${action.slot}`, nowMs);
      }
      return actions;
    },
    list(nowMs) {
      for (const [key, untilMs] of abandonedUntilMs) {
        if (untilMs <= nowMs) abandonedUntilMs.delete(key);
      }
      return [...new Set([...running.keys(), ...abandonedUntilMs.keys()])];
    },
  };
}
