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
import type { Decider, Policy } from "./policy.ts";
import {
  createTopology,
  locateMember,
  type SlotOwner,
  spreadSlots,
} from "./topologies.ts";

/** Use of a slot from the start until its end is known. */
export type SlotUse = {
  service: string;
  /** Whether the request ran outside its home pool. */
  isBorrowed: boolean;
  fromMs: number;
  toMs: number;
};

/** Result of a run. */
export type RunResult = {
  /** Requests answered within their deadline by the id of the request. */
  good: Set<string>;
  uses: SlotUse[];
  refused: number;
  forwarded: number;
  returned: number;
  /** Started, but answered after the deadline. */
  late: number;
  /** Forwards that ran on an executor that the sender knew to be leaving. */
  stale: number;
  /** Starts on an executor that some entry host knew to be leaving. */
  onLeaving: number;
};

/** Change of the set as one entry host sees it. */
export type SetChange = {
  member: number;
  atMs: number;
  version: number;
  /** Names of the executors that are leaving from then on. */
  leaving: ReadonlySet<string>;
};

/** Run that is simulated. */
export type RunOptions = {
  deployment: Deployment;
  policy: Policy;
  arrivals: readonly Arrival[];
  changes?: readonly SetChange[];
  /** Whether a receiver refuses forwards from a sender with a newer set. */
  isVersionChecked?: boolean;
};

/** Simulation in progress. */
type Run = {
  deployment: Deployment;
  events: EventQueue;
  deciders: Decider[];
  requests: Map<string, Arrival>;
  /** Last change that each entry host has seen. */
  seen: Map<number, SetChange>;
  /** Newest change that any entry host has seen. */
  newest: Pick<SetChange, "version" | "leaving">;
  isVersionChecked: boolean;
  result: RunResult;
};

/** Interval of the heartbeats within a data centre and beyond it. */
const LOCAL_HEARTBEAT_MS = 500;
const REGION_HEARTBEAT_MS = 1_000;

/** Interval of the ticks of each entry host. */
const TICK_MS = 50;

/** Time after the last arrival in which running requests end. */
const DRAIN_MS = 15_000;

/**
 * Runs a trace of requests against the deciders of all entry hosts in virtual
 * time. Network delays are the one-way latencies of the deployment.
 *
 * @example
 * ```ts
 * const run = { deployment: LAKESHORE, policy: CHOSEN, arrivals };
 * const { good } = simulateRequests(run);
 * ```
 */
export function simulateRequests(options: RunOptions): RunResult {
  const { deployment, policy, arrivals } = options;
  const run: Run = {
    deployment,
    events: createEventQueue(),
    deciders: createDeciders(deployment, policy),
    requests: new Map(arrivals.map((arrival) => [arrival.id, arrival])),
    seen: new Map(),
    newest: { version: 0, leaving: new Set() },
    isVersionChecked: options.isVersionChecked ?? false,
    result: {
      good: new Set(),
      uses: [],
      refused: 0,
      forwarded: 0,
      returned: 0,
      late: 0,
      stale: 0,
      onLeaving: 0,
    },
  };
  const endMs = (arrivals.at(-1)?.atMs ?? 0) + DRAIN_MS;
  scheduleArrivals(run, arrivals);
  for (const change of options.changes ?? []) {
    schedule(run.events, change.atMs, () => changeSet(run, policy, change));
  }
  run.deciders.forEach((_, member) => {
    repeat(run, TICK_MS, { member, endMs, act: () => tick(run, member) });
    if (policy.isCentral) return;
    scheduleHeartbeats(run, member, endMs);
  });
  runUntil(run.events, endMs);
  return run.result;
}

function createDeciders(deployment: Deployment, policy: Policy): Decider[] {
  const members = policy.isCentral ? 1 : deployment.entryHosts;
  const owner: SlotOwner = policy.isCentral ? () => 0 : spreadSlots(deployment);
  const { isLending } = policy;
  return Array.from({ length: members }, (_, member) =>
    policy.createDecider(
      createTopology(deployment, { member, owner, isLending }),
    ));
}

function changeSet(run: Run, policy: Policy, change: SetChange): void {
  const { member, leaving } = change;
  run.seen.set(member, change);
  if (change.version > run.newest.version) run.newest = change;
  const topology = createTopology(run.deployment, {
    member,
    owner: spreadSlots(run.deployment),
    isLending: policy.isLending,
    leaving,
  });
  advance(run, member, { type: "topology", topology });
}

/** Schedules each arrival from the one before, to keep the queue short. */
function scheduleArrivals(run: Run, arrivals: readonly Arrival[]): void {
  const scheduleNext = (index: number) => {
    const arrival = arrivals[index];
    if (arrival === undefined) return;
    schedule(run.events, arrival.atMs, () => {
      scheduleNext(index + 1);
      arrive(run, arrival);
    });
  };
  scheduleNext(0);
}

function arrive(run: Run, arrival: Arrival): void {
  const member = arrival.member % run.deciders.length;
  advance(run, member, createArrived(arrival, false));
}

function createArrived(arrival: Arrival, isForwarded: boolean): SchedulerEvent {
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
  const actions = run.deciders[member]!.advance(event, run.events.nowMs);
  for (const action of actions) carryOut(run, member, action);
}

function tick(run: Run, member: number): void {
  advance(run, member, { type: "tick" });
}

function carryOut(run: Run, member: number, action: SchedulerAction): void {
  const arrival = run.requests.get(action.id)!;
  const home = arrival.member % run.deciders.length;
  switch (action.type) {
    case "start":
      startRequest(run, member, { ...action, arrival, home });
      break;
    case "forward": {
      run.result.forwarded++;
      const target = Number(action.member);
      const atMs = run.events.nowMs + findLatency(run, member, target);
      const known = run.seen.get(member);
      schedule(run.events, atMs, () => {
        receiveForward(run, target, { arrival, home, known });
      });
      break;
    }
    case "refuse":
      if (member === home) run.result.refused++;
      else returnRequest(run, member, { id: action.id, home });
  }
}

/** Hands a forwarded request to its receiver, and counts stale starts. */
function receiveForward(
  run: Run,
  member: number,
  options: { arrival: Arrival; home: number; known: SetChange | undefined },
): void {
  const { arrival, home, known } = options;
  const isOlder = (run.seen.get(member)?.version ?? 0) < (known?.version ?? 0);
  if (run.isVersionChecked && isOlder) {
    returnRequest(run, member, { id: arrival.id, home });
    return;
  }
  const event = createArrived(arrival, true);
  const actions = run.deciders[member]!.advance(event, run.events.nowMs);
  for (const action of actions) {
    const isStale = action.type === "start" && action.id === arrival.id &&
      isOlder && known?.leaving.has(action.host);
    if (isStale) run.result.stale++;
    carryOut(run, member, action);
  }
}

function returnRequest(
  run: Run,
  member: number,
  options: { id: string; home: number },
): void {
  const { id, home } = options;
  run.result.returned++;
  const atMs = run.events.nowMs + findLatency(run, member, home);
  const event = { type: "returned", id, member: String(member) } as const;
  schedule(run.events, atMs, () => advance(run, home, event));
}

function startRequest(
  run: Run,
  member: number,
  options: { arrival: Arrival; home: number; host: string; slot: number },
): void {
  const { arrival, home, host, slot } = options;
  const { id, service, runMs } = arrival;
  const fromMs = run.events.nowMs;
  const toMs = fromMs + runMs + 2 * LOCAL_LATENCY_MS;
  const isBorrowed = !host.startsWith(`${service}-`);
  if (run.newest.leaving.has(host)) run.result.onLeaving++;
  run.result.uses.push({ service, isBorrowed, fromMs, toMs });
  schedule(run.events, toMs, () => {
    const result = "succeeded";
    advance(run, member, { type: "finished", id, host, slot, runMs, result });
    const answeredMs = toMs + findLatency(run, member, home);
    if (answeredMs <= arrival.deadlineAtMs) run.result.good.add(id);
    else run.result.late++;
    if (member === home) return;
    schedule(run.events, answeredMs, () => {
      advance(run, home, { type: "forward-ended", id });
    });
  });
}

function findLatency(run: Run, from: number, to: number): number {
  if (from === to) return 0;
  const { deployment } = run;
  const isLocal =
    locateMember(deployment, from) === locateMember(deployment, to);
  return isLocal ? LOCAL_LATENCY_MS : deployment.latencyMs;
}

function scheduleHeartbeats(run: Run, member: number, endMs: number): void {
  const { deployment } = run;
  const dataCentre = locateMember(deployment, member);
  const report = (isSameDataCentre: boolean) => {
    const reports = run.deciders[member]!.reportSlots(run.events.nowMs);
    const slots = reports.map((report): RemoteSlots => ({
      ...report,
      member: String(member),
      isSameDataCentre,
    }));
    run.deciders.forEach((_, peer) => {
      const isLocal = locateMember(deployment, peer) === dataCentre;
      if (peer === member || isLocal !== isSameDataCentre) return;
      const atMs = run.events.nowMs + findLatency(run, member, peer);
      schedule(run.events, atMs, () => {
        advance(run, peer, { type: "remote-slots", slots });
      });
    });
  };
  const local = { member, endMs, act: () => report(true) };
  const region = { member, endMs, act: () => report(false) };
  repeat(run, LOCAL_HEARTBEAT_MS, local);
  repeat(run, REGION_HEARTBEAT_MS, region);
}

/** Acts at an interval, each entry host at another phase of it. */
function repeat(
  run: Run,
  intervalMs: number,
  options: { member: number; endMs: number; act: () => void },
): void {
  const { member, endMs, act } = options;
  const again = () => {
    act();
    const atMs = run.events.nowMs + intervalMs;
    if (atMs < endMs) schedule(run.events, atMs, again);
  };
  const phase = member / run.deciders.length;
  schedule(run.events, intervalMs * phase, again);
}
