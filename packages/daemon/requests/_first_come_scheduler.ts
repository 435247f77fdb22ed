import type {
  QueuedRequest,
  SchedulerAction,
  SchedulerEvent,
  Topology,
} from "@lagoonloom/decisions";

/** Scheduler that serves requests in order of arrival, for tests. */
export function createFirstComeScheduler() {
  let topology: Topology = { pools: [], services: [] };
  let queue: QueuedRequest[] = [];
  const busy = new Set<string>();
  return (event: SchedulerEvent, nowMs: number): SchedulerAction[] => {
    switch (event.type) {
      case "arrived":
        queue.push(event.request);
        break;
      case "finished":
        busy.delete(`${event.host}/${event.slot}`);
        break;
      case "cancelled":
        queue = queue.filter((request) => request.id !== event.id);
        break;
      case "topology":
        topology = event.topology;
        break;
    }
    return startQueued(nowMs);
  };

  function startQueued(nowMs: number): SchedulerAction[] {
    const actions: SchedulerAction[] = [];
    const waiting: QueuedRequest[] = [];
    for (const request of queue) {
      const { id } = request;
      const slot = findSlot(request);
      if (request.deadlineAtMs <= nowMs) {
        actions.push({
          type: "refuse",
          id,
          reason: "deadline",
          retryAfterMs: 1_000,
        });
      } else if (slot === undefined) waiting.push(request);
      else {
        busy.add(`${slot.host}/${slot.slot}`);
        actions.push({ type: "start", id, ...slot });
      }
    }
    queue = waiting;
    return actions;
  }

  function findSlot(request: QueuedRequest) {
    const service = topology.services.find((service) =>
      service.name === request.service
    );
    const pool = topology.pools.find((pool) => pool.name === service?.pool);
    for (const host of pool?.hosts ?? []) {
      if (host.isLeaving || request.excludedHosts.includes(host.name)) continue;
      const slot = host.slots.find((slot) => !busy.has(`${host.name}/${slot}`));
      if (slot !== undefined) return { host: host.name, slot };
    }
    return undefined;
  }
}
