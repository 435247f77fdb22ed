/**
 * Property test: runs the scheduler through random events, next to a model that
 * checks each action.
 *
 * @module
 */

import { describe, expect, test } from "@jest/globals";
import fc from "fast-check";
import { createService, createTopology } from "./_fixtures.ts";
import {
  advanceScheduler,
  createScheduler,
  type QueuedRequest,
  type SchedulerAction,
  type SchedulerEvent,
  type SchedulerState,
  type Topology,
  Urgency,
} from "./mod.ts";

const MAX_QUEUE_LENGTH = 5;
const MEMBERS = ["m1", "m2"];

const TOPOLOGY = createTopology(
  { huye: [[0, 1], [0, 1], [3]], spare: [[4, 5]], empty: [] },
  [
    createService("huye", { sharePercent: 60, overflow: ["spare"] }),
    createService("kigali", {
      pool: "huye",
      sharePercent: 40,
      overflow: ["spare"],
    }),
    createService("spare", { overflow: ["huye"] }),
    createService("guest", { pool: "empty", overflow: ["spare", "huye"] }),
  ],
);

const HOSTS = TOPOLOGY.pools.flatMap((pool) => pool.hosts);

/** Random event; `pick` chooses among the requests and hosts at the time. */
const Step = fc.record({
  kind: fc.constantFrom(
    ...Array<"arrive">(6).fill("arrive"),
    ...Array<"finish">(4).fill("finish"),
    "cancel" as const,
    "return" as const,
    "end-forward" as const,
    "leave" as const,
    "report" as const,
    "tick" as const,
  ),
  pick: fc.nat(999),
  waitMs: fc.nat(60),
  urgency: fc.constantFrom(...Urgency.options),
  isForwarded: fc.nat(4).map((value) => value === 0),
  result: fc.constantFrom("succeeded", "succeeded", "failed", "abandoned"),
});
type Step = typeof Step extends fc.Arbitrary<infer T> ? T : never;

/** Expected state, derived from the events and actions only. */
type Model = {
  state: SchedulerState;
  nowMs: number;
  topology: Topology;
  requests: Map<string, QueuedRequest>;
  waiting: Set<string>;
  running: Map<string, { host: string; slot: number; startedAtMs: number }>;
  forwarded: Map<string, string>;
  refused: Set<string>;
  started: Set<string>;
  hasFailures: boolean;
};

function createModel(hasFailures: boolean): Model {
  return {
    state: createScheduler({
      topology: TOPOLOGY,
      maxQueueLength: MAX_QUEUE_LENGTH,
    }),
    nowMs: 0,
    topology: TOPOLOGY,
    requests: new Map(),
    waiting: new Set(),
    running: new Map(),
    forwarded: new Map(),
    refused: new Set(),
    started: new Set(),
    hasFailures,
  };
}

function takeStep(model: Model, step: Step): void {
  model.nowMs += step.waitMs;
  const event = chooseEvent(model, step);
  if (event === undefined) return;
  const actions = advanceScheduler(model.state, event, model.nowMs);
  for (const action of actions) checkAction(model, action);
  checkState(model, actions);
}

function choose<T>(items: Iterable<T>, pick: number): T | undefined {
  const list = [...items];
  return list[pick % list.length];
}

function chooseEvent(model: Model, step: Step): SchedulerEvent | undefined {
  const { pick } = step;
  switch (step.kind) {
    case "arrive":
      return createArrival(model, step);
    case "finish": {
      const id = choose(model.running.keys(), pick);
      if (id === undefined) return undefined;
      const { host, slot, startedAtMs } = model.running.get(id)!;
      model.running.delete(id);
      const runMs = model.nowMs - startedAtMs;
      const result = model.hasFailures ? step.result : "succeeded";
      return { type: "finished", id, host, slot, runMs, result };
    }
    case "cancel": {
      const id = choose(model.waiting, pick);
      if (id === undefined) return undefined;
      model.waiting.delete(id);
      return { type: "cancelled", id };
    }
    case "return":
    case "end-forward": {
      const id = choose(model.forwarded.keys(), pick);
      if (id === undefined) return undefined;
      const member = model.forwarded.get(id)!;
      model.forwarded.delete(id);
      if (step.kind === "end-forward") return { type: "forward-ended", id };
      model.waiting.add(id);
      return { type: "returned", id, member };
    }
    case "leave":
      model.topology = changeHost(model.topology, pick);
      return { type: "topology", topology: model.topology };
    case "report":
      return createReport(pick);
    case "tick":
      return { type: "tick" };
  }
}

function createArrival(model: Model, step: Step): SchedulerEvent {
  const names = TOPOLOGY.services.map((service) => service.name);
  const request: QueuedRequest = {
    id: `r${model.requests.size}`,
    service: choose(names, step.pick)!,
    urgency: step.urgency,
    arrivedAtMs: model.nowMs,
    deadlineAtMs: model.nowMs + 200 + step.pick,
    isForwarded: step.isForwarded,
    excludedHosts: step.pick % 7 === 0 && model.hasFailures
      ? [choose(HOSTS, step.pick)!.name]
      : [],
  };
  model.requests.set(request.id, request);
  model.waiting.add(request.id);
  return { type: "arrived", request };
}

/** Toggles whether a host leaves, or removes or restores one of its slots. */
function changeHost(topology: Topology, pick: number): Topology {
  const chosen = HOSTS[pick % HOSTS.length]!;
  return {
    ...topology,
    pools: topology.pools.map((pool) => ({
      ...pool,
      hosts: pool.hosts.map((host) => {
        if (host.name !== chosen.name) return host;
        if (pick % 2 === 0) return { ...host, isLeaving: !host.isLeaving };
        const hasAllSlots = host.slots.length === chosen.slots.length;
        return { ...host, slots: chosen.slots.slice(hasAllSlots ? 1 : 0) };
      }),
    })),
  };
}

function createReport(pick: number): SchedulerEvent {
  const slots = {
    member: choose(MEMBERS, pick)!,
    pool: pick % 3 === 0 ? "spare" : "huye",
    free: pick % 4,
    lent: pick % 5,
    isSameDataCentre: pick % 2 === 0,
  };
  return { type: "remote-slots", slots: [slots] };
}

/** Checks an action against the model and applies it. */
function checkAction(model: Model, action: SchedulerAction): void {
  const { id } = action;
  // A request gets one action, and none after it was cancelled or has ended.
  expect(model.waiting.delete(id)).toBe(true);
  const request = model.requests.get(id)!;
  if (action.type === "refuse") {
    expect(action.retryAfterMs).toBeGreaterThan(0);
    expect(model.started.has(id)).toBe(false);
    model.refused.add(id);
    return;
  }
  expect(model.refused.has(id)).toBe(false);
  expect(model.nowMs).toBeLessThan(request.deadlineAtMs);
  if (action.type === "forward") {
    expect(request.isForwarded).toBe(false);
    model.forwarded.set(id, action.member);
    return;
  }
  const { host, slot } = action;
  const known = model.topology.pools.flatMap((pool) => pool.hosts)
    .find(({ name }) => name === host)!;
  expect(known.isLeaving).toBe(false);
  expect(known.slots).toContain(slot);
  expect(request.excludedHosts).not.toContain(host);
  for (const other of model.running.values()) {
    expect(other.host === host && other.slot === slot).toBe(false);
  }
  model.running.set(id, { host, slot, startedAtMs: model.nowMs });
  model.started.add(id);
}

function checkState(model: Model, actions: SchedulerAction[]): void {
  const { state } = model;
  const maxWaiting = MAX_QUEUE_LENGTH * Urgency.options.length;
  expect(state.waiting.size).toBe(model.waiting.size);
  expect(model.waiting.size).toBeLessThanOrEqual(
    maxWaiting * TOPOLOGY.services.length,
  );
  expect(state.running.size).toBe(model.running.size);
  expect(state.forwarded.size).toBe(model.forwarded.size);
  expect(state.remote.length).toBeLessThanOrEqual(MEMBERS.length * 2);
  if (!model.hasFailures) checkGuarantees(model, actions);
}

/**
 * Checks that no slot goes to a borrower while an owner below its guarantee has
 * waiting requests.
 */
function checkGuarantees(model: Model, actions: SchedulerAction[]): void {
  for (const pool of model.topology.pools) {
    const hosts = new Set(pool.hosts.map((host) => host.name));
    const usable = pool.hosts.filter((host) => !host.isLeaving)
      .reduce((sum, host) => sum + host.slots.length, 0);
    const count = (service: string) =>
      [...model.running].filter(([id, { host }]) =>
        hosts.has(host) && model.requests.get(id)!.service === service
      ).length;
    const ownersWaiting = model.topology.services.filter((service) =>
      service.pool === pool.name &&
      count(service.name) < usable * service.sharePercent / 100 &&
      [...model.waiting].some((id) =>
        model.requests.get(id)!.service === service.name
      )
    ).map((service) => service.name);
    for (const action of actions) {
      if (action.type !== "start" || !hosts.has(action.host)) continue;
      const { service } = model.requests.get(action.id)!;
      // Another owner that is itself below its guarantee may go first.
      const spec = model.topology.services.find(({ name }) =>
        name === service
      )!;
      const isOwner = spec.pool === pool.name &&
        count(service) <= Math.ceil(usable * spec.sharePercent / 100);
      if (!isOwner) expect(ownersWaiting).toEqual([]);
    }
  }
}

/** Ends all requests and checks that the state holds none. */
function drain(model: Model): void {
  model.nowMs += 100_000;
  takeStep(model, { ...IDLE_STEP, kind: "tick" });
  while (model.running.size > 0) takeStep(model, IDLE_STEP);
  while (model.forwarded.size > 0) {
    takeStep(model, { ...IDLE_STEP, kind: "end-forward" });
  }
  const { state } = model;
  expect(model.waiting.size).toBe(0);
  expect(state.returnedBy.size).toBe(0);
  for (const host of state.hosts.values()) expect(host.inUse.size).toBe(0);
  for (const service of state.services.values()) {
    expect(service.running).toBe(0);
    expect(service.runningByPool.size).toBe(0);
  }
}

const IDLE_STEP: Step = {
  kind: "finish",
  pick: 0,
  waitMs: 0,
  urgency: "normal",
  isForwarded: false,
  result: "succeeded",
};

describe("advanceScheduler under any sequence of events", () => {
  // Guards against two requests in one slot, starts on leaving hosts, requests
  // with no or two answers, refused requests that run, unbounded queues, and,
  // if no request fails, lending that breaks guarantees.
  test.each([
    ["failures", true, 1],
    ["no failures", false, 2],
  ])("keeps its invariants with %s", (_, hasFailures, seed) => {
    const steps = fc.array(Step, { minLength: 20, maxLength: 150 });
    fc.assert(
      fc.property(steps, (steps) => {
        const model = createModel(hasFailures);
        for (const step of steps) takeStep(model, step);
        drain(model);
      }),
      { seed, numRuns: 150 },
    );
  });
});
