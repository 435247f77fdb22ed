/**
 * Tests of the scheduler's decisions in single situations.
 *
 * @module
 */

import { describe, expect, test } from "@jest/globals";
import { arrive, createService, createTopology, finish } from "./_fixtures.ts";
import {
  advanceScheduler,
  createScheduler,
  type QueuedRequest,
  reportSlots,
  type SchedulerAction,
  type SchedulerEvent,
  type SchedulerState,
  type Topology,
} from "./mod.ts";

const TOPOLOGY = createTopology({ huye: [[0, 1]], spare: [[4]] }, [
  createService("huye", { overflow: ["spare"] }),
  createService("spare", { overflow: ["huye"] }),
]);

const SINGLE_SLOT_TOPOLOGY = createTopology({ huye: [[0]] }, [
  createService("huye"),
]);

/** Applies events at time zero and returns a short text for each action. */
function applyEvents(
  state: SchedulerState,
  events: SchedulerEvent[],
): string[] {
  return events.flatMap((event) => advanceScheduler(state, event, 0))
    .map(describeAction);
}

function describeAction(action: SchedulerAction): string {
  if (action.type === "start") return `${action.id} at ${action.host}`;
  if (action.type === "forward") return `${action.id} to ${action.member}`;
  return `${action.id} ${action.reason}`;
}

/** Returns another entry host's report on pool `huye`. */
function createReport(
  member: string,
  options: { free?: number; lent?: number; isSameDataCentre?: boolean },
): SchedulerEvent {
  const defaults = { pool: "huye", free: 0, isSameDataCentre: true };
  return { type: "remote-slots", slots: [{ ...defaults, ...options, member }] };
}

/**
 * Occupies the only slot, queues requests and returns their ids in the order in
 * which they start, followed by an empty text.
 */
function listStarts(state: SchedulerState, requests: SchedulerEvent[]) {
  const started: string[] = [];
  let id = "first";
  advanceScheduler(state, arrive(id), 0);
  for (const request of requests) advanceScheduler(state, request, 0);
  while (id !== "") {
    const end = finish(id, { host: "huye-0", slot: 0 }, { runMs: 1 });
    const start = advanceScheduler(state, end, 1)
      .find((action) => action.type === "start");
    id = start?.id ?? "";
    started.push(id);
  }
  return started;
}

describe("advanceScheduler", () => {
  // Guards against borrowed slots that go to another borrower while their owner
  // waits.
  test("gives a free slot to the owner before borrowers", () => {
    const state = createScheduler({ topology: TOPOLOGY });
    expect(applyEvents(state, ["a", "b", "c", "d"].map((id) => arrive(id))))
      .toEqual(["a at huye-0", "b at huye-0", "c at spare-0"]);
    expect(applyEvents(state, [
      arrive("o", { service: "spare" }),
      finish("c", { host: "spare-0", slot: 4 }),
    ])).toEqual(["o at spare-0"]);
  });

  // Guards against a long flood that gets borrowed slots as readily as a
  // service with a short peak.
  test("lends to the service that borrowed less recently", () => {
    const pools = { spare: [[0, 1]], flood: [], peak: [] };
    const overflow = ["spare"];
    const topology = createTopology(pools, [
      createService("flood", { overflow }),
      createService("peak", { overflow }),
    ]);
    const state = createScheduler({ topology });
    const flood = { service: "flood", deadlineAtMs: 90_000 };
    applyEvents(state, ["f1", "f2", "f3"].map((id) => arrive(id, flood)));
    const peak = { service: "peak", deadlineAtMs: 90_000 };
    const place = { host: "spare-0", slot: 0 };
    // By now the flood has borrowed for twice the averaging time.
    const lateMs = 20_000;
    advanceScheduler(state, arrive("p1", peak), lateMs);
    advanceScheduler(state, arrive("p2", peak), lateMs);
    const first = advanceScheduler(state, finish("f1", place), lateMs);
    expect(first.map(describeAction)).toEqual(["p1 at spare-0"]);
    const second = advanceScheduler(
      state,
      finish("f2", { host: "spare-0", slot: 1 }),
      lateMs,
    );
    expect(second.map(describeAction)).toEqual(["p2 at spare-0"]);
  });

  // Guards against a class that starves the lower classes of its service, and
  // against lower classes that delay it by more than their minimum share.
  test.each(
    [
      ["urgent", ["normal"], 4],
      ["urgent", ["deferrable"], 4],
      ["normal", ["deferrable"], 9],
    ] as const,
  )(
    "limits %s floods while %s requests wait",
    (flood, others, startsBefore) => {
      const state = createScheduler({ topology: SINGLE_SLOT_TOPOLOGY });
      const requests = Array.from(
        { length: 15 },
        (_, index) => arrive(`f${index}`, { urgency: flood }),
      );
      for (const urgency of others) requests.push(arrive("other", { urgency }));
      expect(listStarts(state, requests).indexOf("other")).toBe(startsBefore);
    },
  );

  // Guards against slow requests of one class that make the scheduler shed
  // another class, and against run times that count only once requests end.
  test("estimates the run time of each class", () => {
    const slots = Array.from({ length: 8 }, (_, slot) => slot);
    const topology = createTopology({ huye: [slots] }, [createService("huye")]);
    const state = createScheduler({ topology });
    const slow = { urgency: "deferrable", deadlineAtMs: 9_000 } as const;
    applyEvents(
      state,
      ["a", "b", "c", "d", "e", "f"].map((id) => arrive(id, slow)),
    );
    advanceScheduler(state, { type: "tick" }, 3_000);
    const late = { arrivedAtMs: 3_000, deadlineAtMs: 3_500 };
    const answers = (["deferrable", "normal"] as const).flatMap((urgency) =>
      advanceScheduler(state, arrive(urgency, { ...late, urgency }), 3_000)
    );
    expect(answers.map(describeAction))
      .toEqual(["deferrable deadline", "normal at huye-0"]);
  });

  // Guards against requests that are queued although they cannot run in time.
  test.each<[string, Partial<QueuedRequest>, string[]]>([
    ["an unknown service", { service: "none" }, ["x unknown-service"]],
    ["a past deadline", { deadlineAtMs: -1 }, ["x deadline"]],
    ["too short a deadline", { deadlineAtMs: 120 }, ["x deadline"]],
    ["no usable executor", { excludedHosts: ["huye-0"] }, ["x no-executor"]],
    ["no slot for a forward", { isForwarded: true }, ["x queue-full"]],
    ["nothing", {}, []],
  ])("refuses for %s", (_, options, expected) => {
    const state = createScheduler({ topology: SINGLE_SLOT_TOPOLOGY });
    applyEvents(state, [arrive("busy")]);
    expect(applyEvents(state, [arrive("x", options)])).toEqual(expected);
  });

  // Guards against queues that serve requests late instead of refusing them on
  // arrival.
  test("refuses on arrival requests that the queue cannot start in time", () => {
    const state = createScheduler({ topology: SINGLE_SLOT_TOPOLOGY });
    const events = Array.from(
      { length: 40 },
      (_, index) => arrive(`r${index}`),
    );
    const actions = events.flatMap((event) =>
      advanceScheduler(state, event, 0)
    );
    const refused = actions.filter((action) => action.type === "refuse");
    expect(refused.length).toBeGreaterThan(15);
    // About 19 requests of 100 ms each are ahead of a refused one.
    for (const action of refused) {
      expect(action).toMatchObject({ reason: "deadline" });
      expect(action.retryAfterMs).toBeGreaterThanOrEqual(1_000);
    }
  });

  // Guards against queues that grow without bound while deadlines are distant.
  test("refuses when the queue of the class is full", () => {
    const state = createScheduler({
      topology: SINGLE_SLOT_TOPOLOGY,
      maxQueueLength: 2,
    });
    const far = { deadlineAtMs: 900_000 };
    expect(
      applyEvents(state, ["a", "b", "c", "d"].map((id) => arrive(id, far))),
    )
      .toEqual(["a at huye-0", "d queue-full"]);
    const urgent = { ...far, urgency: "urgent" } as const;
    expect(applyEvents(state, [arrive("u", urgent)])).toEqual([]);
  });

  // Guards against an owner that always has to wait until borrowed slots are
  // free.
  test("reserves headroom against a service that borrows for long", () => {
    const slots = Array.from({ length: 50 }, (_, slot) => slot);
    const topology = createTopology({ spare: [slots], none: [] }, [
      createService("owner", { pool: "spare" }),
      createService("guest", { pool: "none", overflow: ["spare"] }),
    ]);
    const state = createScheduler({ topology });
    const place = { host: "spare-0", slot: 0 };
    for (let nowMs = 0; nowMs <= 2_000; nowMs += 10) {
      const isOwner = nowMs < 1_000;
      const options = {
        service: isOwner ? "owner" : "guest",
        deadlineAtMs: 99_000,
      };
      advanceScheduler(state, arrive(`r${nowMs}`, options), nowMs);
      const { host, slot } = state.running.get(`r${nowMs}`) ?? place;
      if (!isOwner && nowMs !== 1_000) continue;
      const runMs = isOwner ? 1 : 3_000;
      const end = finish(`r${nowMs}`, { host, slot }, { runMs });
      advanceScheduler(state, end, nowMs + 5);
    }
    expect(state.running.size).toBe(48);
    const owner = { service: "owner", deadlineAtMs: 99_000 };
    const starts = ["a", "b", "c"].flatMap((id) =>
      advanceScheduler(state, arrive(id, owner), 2_001)
    );
    expect(starts).toHaveLength(2);
  });

  // Guards against a run time estimate that is never corrected, because it
  // makes the scheduler refuse every request.
  test("tries a service whose declared run time is too long", () => {
    const services = [createService("huye", { runTimeMs: 60_000 })];
    const topology = createTopology({ huye: [[0]] }, services);
    const state = createScheduler({ topology });
    expect(applyEvents(state, [arrive("a")])).toEqual(["a at huye-0"]);
  });

  // Guards against expired requests that stay queued until another event.
  test("refuses expired requests on a tick", () => {
    const state = createScheduler({ topology: SINGLE_SLOT_TOPOLOGY });
    applyEvents(state, [arrive("a"), arrive("b")]);
    const actions = advanceScheduler(state, { type: "tick" }, 1_900);
    expect(actions.map(describeAction)).toEqual(["b deadline"]);
  });

  // Guards against more forwards than a report has slots, and against forwards
  // to another data centre while this one has free slots.
  test("uses each reported slot once, same data centre first", () => {
    const state = createScheduler({ topology: SINGLE_SLOT_TOPOLOGY });
    expect(applyEvents(state, [
      createReport("far", { free: 1, isSameDataCentre: false }),
      createReport("near", { free: 1 }),
      ...["a", "b", "c", "d"].map((id) => arrive(id)),
    ])).toEqual(["a at huye-0", "b to near", "c to far"]);
    const returned = { type: "returned", id: "b", member: "near" } as const;
    expect(applyEvents(state, [returned, createReport("near", { free: 2 })]))
      .toEqual(["d to near"]);
  });

  // Guards against a desk that gets less than its guarantee in a flood because
  // its callers reach only a few entry hosts.
  test("forwards to lent slots once its local guarantee is used up", () => {
    const state = createScheduler({ topology: SINGLE_SLOT_TOPOLOGY });
    expect(applyEvents(state, [
      arrive("a"),
      createReport("b", { lent: 1 }),
      arrive("b"),
      arrive("c"),
      { type: "forward-ended", id: "b" },
    ])).toEqual(["a at huye-0", "b to b", "c to b"]);
  });

  // Guards against returning an owner's forwarded request although the next
  // borrowed slot that becomes free goes to it.
  test("queues a forwarded request of an owner below its guarantee", () => {
    const state = createScheduler({ topology: TOPOLOGY });
    applyEvents(state, ["a", "b", "c"].map((id) => arrive(id)));
    expect(reportSlots(state, 0)).toEqual([
      { pool: "huye", free: 0, lent: 0 },
      { pool: "spare", free: 0, lent: 1 },
    ]);
    const owner = { service: "spare", isForwarded: true };
    expect(applyEvents(state, [
      arrive("o", owner),
      arrive("p", owner),
      finish("c", { host: "spare-0", slot: 4 }),
    ])).toEqual(["p queue-full", "o at spare-0"]);
  });

  // Guards against new requests on a leaving host, and against reuse of a slot
  // whose request from an earlier topology still runs.
  test("starts no request on leaving hosts or slots in use", () => {
    const state = createScheduler({ topology: SINGLE_SLOT_TOPOLOGY });
    applyEvents(state, [arrive("a")]);
    const leaving: Topology = {
      ...SINGLE_SLOT_TOPOLOGY,
      pools: SINGLE_SLOT_TOPOLOGY.pools.map((pool) => ({
        ...pool,
        hosts: pool.hosts.map((host) => ({ ...host, isLeaving: true })),
      })),
    };
    const nothing: Topology = {
      pools: [],
      services: SINGLE_SLOT_TOPOLOGY.services,
    };
    expect(applyEvents(state, [
      { type: "topology", topology: nothing },
      { type: "topology", topology: SINGLE_SLOT_TOPOLOGY },
      arrive("b"),
      { type: "topology", topology: leaving },
      finish("a", { host: "huye-0", slot: 0 }),
    ])).toEqual([]);
    expect(
      applyEvents(state, [{
        type: "topology",
        topology: SINGLE_SLOT_TOPOLOGY,
      }]),
    )
      .toEqual(["b at huye-0"]);
  });
});
