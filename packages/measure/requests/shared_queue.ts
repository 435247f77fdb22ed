import type {
  QueuedRequest,
  SchedulerAction,
  Topology,
} from "@lagoonloom/decisions";
import type { RequestScheduler } from "./request_scheduler.ts";

/** Number of waiting requests from which on new ones are refused. */
const MAX_QUEUE_LENGTH = 4_096;

/**
 * Returns a scheduler with one FIFO queue for all services and urgencies. Any
 * request may use any slot; requests past their deadline are refused.
 *
 * @example
 * ```ts
 * const scheduler = createSharedQueue(topology);
 * ```
 */
export function createSharedQueue(topology: Topology): RequestScheduler {
  const free = topology.pools.flatMap((pool) =>
    pool.hosts.flatMap((host) =>
      host.slots.map((slot) => ({ host: host.name, slot }))
    )
  );
  const queue: QueuedRequest[] = [];
  const refuse = (id: string): SchedulerAction => ({
    type: "refuse",
    id,
    reason: "queue-full",
    retryAfterMs: 1_000,
  });
  return {
    reportSlots: () => [],
    advance: (event, nowMs) => {
      const actions: SchedulerAction[] = [];
      if (event.type === "finished") {
        free.push({ host: event.host, slot: event.slot });
      } else if (event.type === "arrived") {
        if (queue.length >= MAX_QUEUE_LENGTH) return [refuse(event.request.id)];
        queue.push(event.request);
      }
      while (queue.length > 0 && free.length > 0) {
        const request = queue.shift()!;
        const { id, deadlineAtMs } = request;
        if (deadlineAtMs <= nowMs) actions.push(refuse(id));
        else actions.push({ type: "start", id, ...free.shift()! });
      }
      return actions;
    },
  };
}
