/**
 * Simulation of the scheduling of requests on all entry hosts.
 *
 * @module
 */

import type {
  RemoteSlots,
  SchedulerAction,
  SchedulerEvent,
} from "@lagoonloom/decisions";
import {
  createEventQueue,
  type EventQueue,
  runUntil,
  schedule,
} from "../event_queue.ts";
import type { Arrival } from "./demand.ts";
import { type Deployment, LOCAL_LATENCY_MS } from "./deployment.ts";
import type { Policy } from "./policy.ts";
import type { RequestScheduler } from "./request_scheduler.ts";
import {
  createSlotOwnerLookup,
  createTopology,
  findDataCentre,
  type SlotOwnerLookup,
} from "./topologies.ts";

/** Use of a slot from the start of a request until its end is known. */
export type SlotUse = {
  service: string;
  /** Whether the request ran outside its service's home pool. */
  isBorrowed: boolean;
  fromMs: number;
  toMs: number;
};

/** Result of a simulated run. */
export type RunResult = {
  /** Ids of the requests that were answered within their deadline. */
  answeredInTime: Set<string>;
  uses: SlotUse[];
  refused: number;
  /** Number of forwards, of which the receivers returned some as not run. */
  forwarded: number;
  returned: number;
  /** Number of requests that started but were answered after the deadline. */
  late: number;
  /** Forwards that ran on an executor which the sender knew to be leaving. */
  staleStarts: number;
  /** Starts on an executor which any entry host knew to be leaving. */
  startsOnLeaving: number;
};

/** Change of the object set at the time at which one entry host folds it. */
export type ObservedSetChange = {
  member: number;
  atMs: number;
  version: number;
  /** Names of the executors that are leaving in this version. */
  leaving: ReadonlySet<string>;
};

/** Options of {@linkcode simulateRequests}. */
export type RunOptions = {
  deployment: Deployment;
  policy: Policy;
  arrivals: readonly Arrival[];
  changes?: readonly ObservedSetChange[];
  /** Whether receivers return forwards of senders that have a newer set. */
  isVersionChecked?: boolean;
};

/** State of a run. */
type Run = {
  deployment: Deployment;
  events: EventQueue;
  schedulers: RequestScheduler[];
  /** All requests by id. */
  requests: Map<string, Arrival>;
  /** Last change that each entry host has folded. */
  lastChanges: Map<number, ObservedSetChange>;
  /** Newest change that any entry host has folded. */
  newestChange: Pick<ObservedSetChange, "version" | "leaving">;
  isVersionChecked: boolean;
  result: RunResult;
};

/** Interval of heartbeats within a data centre. */
const LOCAL_HEARTBEAT_MS = 500;

/** Interval of heartbeats to other data centres. */
const REMOTE_HEARTBEAT_MS = 1_000;

/** Interval of the scheduler's ticks on each entry host. */
const TICK_MS = 50;

/** Time after the last arrival in which the remaining requests end. */
const DRAIN_MS = 15_000;

/**
 * Simulates the schedulers of all entry hosts for a list of requests in virtual
 * time. Network delays are the one-way latencies of the deployment.
 *
 * @example
 * ```ts
 * const options = { deployment: LAKESHORE, policy: CHOSEN, arrivals };
 * const { answeredInTime } = simulateRequests(options);
 * ```
 */
export function simulateRequests(options: RunOptions): RunResult {
  const { deployment, policy, arrivals } = options;
  const run: Run = {
    deployment,
    events: createEventQueue(),
    schedulers: createSchedulers(deployment, policy),
    requests: new Map(arrivals.map((arrival) => [arrival.id, arrival])),
    lastChanges: new Map(),
    newestChange: { version: 0, leaving: new Set() },
    isVersionChecked: options.isVersionChecked ?? false,
    result: {
      answeredInTime: new Set(),
      uses: [],
      refused: 0,
      forwarded: 0,
      returned: 0,
      late: 0,
      staleStarts: 0,
      startsOnLeaving: 0,
    },
  };
  const endMs = (arrivals.at(-1)?.atMs ?? 0) + DRAIN_MS;
  scheduleArrivals(run, arrivals);
  for (const change of options.changes ?? []) {
    schedule(run.events, change.atMs, () => changeSet(run, policy, change));
  }
  run.schedulers.forEach((_, member) => {
    repeat(run, TICK_MS, { member, endMs, call: () => tick(run, member) });
    if (policy.isCentral) return;
    scheduleHeartbeats(run, member, endMs);
  });
  runUntil(run.events, endMs);
  return run.result;
}

function createSchedulers(
  deployment: Deployment,
  policy: Policy,
): RequestScheduler[] {
  const members = policy.isCentral ? 1 : deployment.entryHosts;
  const findOwner: SlotOwnerLookup = policy.isCentral
    ? () => 0
    : createSlotOwnerLookup(deployment);
  const { mayBorrow } = policy;
  return Array.from({ length: members }, (_, member) =>
    policy.createScheduler(
      createTopology(deployment, { member, findOwner, mayBorrow }),
    ));
}

function changeSet(run: Run, policy: Policy, change: ObservedSetChange): void {
  const { member, leaving } = change;
  run.lastChanges.set(member, change);
  if (change.version > run.newestChange.version) run.newestChange = change;
  const topology = createTopology(run.deployment, {
    member,
    findOwner: createSlotOwnerLookup(run.deployment),
    mayBorrow: policy.mayBorrow,
    leaving,
  });
  advance(run, member, { type: "topology", topology });
}

/** Schedules each arrival only after the one before, to keep the heap small. */
function scheduleArrivals(run: Run, arrivals: readonly Arrival[]): void {
  const scheduleNext = (index: number) => {
    const arrival = arrivals[index];
    if (arrival === undefined) return;
    schedule(run.events, arrival.atMs, () => {
      scheduleNext(index + 1);
      receiveFromCaller(run, arrival);
    });
  };
  scheduleNext(0);
}

function receiveFromCaller(run: Run, arrival: Arrival): void {
  const member = arrival.member % run.schedulers.length;
  advance(run, member, createArrivedEvent(arrival, false));
}

function createArrivedEvent(
  arrival: Arrival,
  isForwarded: boolean,
): SchedulerEvent {
  const { id, service, urgency, atMs, deadlineAtMs } = arrival;
  const request = {
    id,
    service,
    urgency,
    arrivedAtMs: atMs,
    deadlineAtMs,
    isForwarded,
    excludedHosts: [],
  };
  return { type: "arrived", request };
}

function advance(run: Run, member: number, event: SchedulerEvent): void {
  const actions = run.schedulers[member]!.advance(event, run.events.nowMs);
  for (const action of actions) performAction(run, member, action);
}

function tick(run: Run, member: number): void {
  advance(run, member, { type: "tick" });
}

function performAction(
  run: Run,
  member: number,
  action: SchedulerAction,
): void {
  const arrival = run.requests.get(action.id)!;
  // Entry host to which the caller sent the request.
  const entryMember = arrival.member % run.schedulers.length;
  switch (action.type) {
    case "start":
      startRequest(run, member, { ...action, arrival, entryMember });
      break;
    case "forward": {
      run.result.forwarded++;
      const target = Number(action.member);
      const atMs = run.events.nowMs + getLatencyMs(run, member, target);
      const senderChange = run.lastChanges.get(member);
      schedule(run.events, atMs, () => {
        receiveForward(run, target, { arrival, entryMember, senderChange });
      });
      break;
    }
    case "refuse":
      if (member === entryMember) run.result.refused++;
      else returnRequest(run, member, { id: action.id, entryMember });
  }
}

/** Passes a forwarded request to its receiver and counts stale starts. */
function receiveForward(
  run: Run,
  member: number,
  options: {
    arrival: Arrival;
    entryMember: number;
    senderChange: ObservedSetChange | undefined;
  },
): void {
  const { arrival, entryMember, senderChange } = options;
  const isOlder =
    (run.lastChanges.get(member)?.version ?? 0) < (senderChange?.version ?? 0);
  if (run.isVersionChecked && isOlder) {
    returnRequest(run, member, { id: arrival.id, entryMember });
    return;
  }
  const event = createArrivedEvent(arrival, true);
  const actions = run.schedulers[member]!.advance(event, run.events.nowMs);
  for (const action of actions) {
    const isStale = action.type === "start" && action.id === arrival.id &&
      isOlder && senderChange?.leaving.has(action.host);
    if (isStale) run.result.staleStarts++;
    performAction(run, member, action);
  }
}

function returnRequest(
  run: Run,
  member: number,
  options: { id: string; entryMember: number },
): void {
  const { id, entryMember } = options;
  run.result.returned++;
  const atMs = run.events.nowMs + getLatencyMs(run, member, entryMember);
  const event = { type: "returned", id, member: String(member) } as const;
  schedule(run.events, atMs, () => advance(run, entryMember, event));
}

function startRequest(
  run: Run,
  member: number,
  options: {
    arrival: Arrival;
    entryMember: number;
    host: string;
    slot: number;
  },
): void {
  const { arrival, entryMember, host, slot } = options;
  const { id, service, runMs } = arrival;
  const fromMs = run.events.nowMs;
  const toMs = fromMs + runMs + 2 * LOCAL_LATENCY_MS;
  const isBorrowed = !host.startsWith(`${service}-`);
  if (run.newestChange.leaving.has(host)) run.result.startsOnLeaving++;
  run.result.uses.push({ service, isBorrowed, fromMs, toMs });
  schedule(run.events, toMs, () => {
    const result = "succeeded";
    advance(run, member, { type: "finished", id, host, slot, runMs, result });
    const answeredMs = toMs + getLatencyMs(run, member, entryMember);
    if (answeredMs <= arrival.deadlineAtMs) run.result.answeredInTime.add(id);
    else run.result.late++;
    if (member === entryMember) return;
    schedule(run.events, answeredMs, () => {
      advance(run, entryMember, { type: "forward-ended", id });
    });
  });
}

function getLatencyMs(run: Run, from: number, to: number): number {
  if (from === to) return 0;
  const { deployment } = run;
  const isLocal =
    findDataCentre(deployment, from) === findDataCentre(deployment, to);
  return isLocal ? LOCAL_LATENCY_MS : deployment.latencyMs;
}

function scheduleHeartbeats(run: Run, member: number, endMs: number): void {
  const { deployment } = run;
  const dataCentre = findDataCentre(deployment, member);
  const report = (isSameDataCentre: boolean) => {
    const reports = run.schedulers[member]!.reportSlots(run.events.nowMs);
    const slots = reports.map((report): RemoteSlots => ({
      ...report,
      member: String(member),
      isSameDataCentre,
    }));
    run.schedulers.forEach((_, peer) => {
      const isLocal = findDataCentre(deployment, peer) === dataCentre;
      if (peer === member || isLocal !== isSameDataCentre) return;
      const atMs = run.events.nowMs + getLatencyMs(run, member, peer);
      schedule(run.events, atMs, () => {
        advance(run, peer, { type: "remote-slots", slots });
      });
    });
  };
  const local = { member, endMs, call: () => report(true) };
  const remote = { member, endMs, call: () => report(false) };
  repeat(run, LOCAL_HEARTBEAT_MS, local);
  repeat(run, REMOTE_HEARTBEAT_MS, remote);
}

/** Repeats a call at an interval, on each entry host at another phase. */
function repeat(
  run: Run,
  intervalMs: number,
  options: { member: number; endMs: number; call: () => void },
): void {
  const { member, endMs, call } = options;
  const callAndRepeat = () => {
    call();
    const atMs = run.events.nowMs + intervalMs;
    if (atMs < endMs) schedule(run.events, atMs, callAndRepeat);
  };
  const phase = member / run.schedulers.length;
  schedule(run.events, intervalMs * phase, callAndRepeat);
}
