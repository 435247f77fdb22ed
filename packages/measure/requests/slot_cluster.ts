/**
 * Simulation of the entry hosts of a data centre that hand over slots while
 * some of them fail.
 *
 * @module
 */

import {
  advanceScheduler,
  assignSlots,
  changeSlotOwners,
  createScheduler,
  createSlotHandover,
  createWatcherState,
  delayTakeOver,
  dropAllSlots,
  FENCING_TIMEOUT_MS,
  findLosses,
  hasSlotRights,
  heldSlots,
  MAX_REQUEST_RUN_TIME_MS,
  noteHeartbeat,
  recordSlotUsage,
  retainMembers,
  type SchedulerEvent,
  type SchedulerState,
  slotBasis,
  type SlotBasisInput,
  type SlotHandover,
  type SlotKey,
  type SlotUsageReport,
  takeOverSlots,
  type Topology,
  type WatcherState,
} from "@lagoonloom/decisions";
import { type EventQueue, schedule } from "../event_queue.ts";
import { drawLogNormal, type Random } from "../random.ts";
import { SLOTS_PER_EXECUTOR } from "./deployment.ts";

/** Record of the simulated log: an incarnation joined or was declared lost. */
export type MemberRecord =
  | { type: "joined"; name: string; incarnation: string }
  | { type: "lost"; name: string; incarnation: string };

/** Simulated entry host. */
export type ClusterMember = {
  name: string;
  incarnation: string;
  state: "running" | "paused" | "ended";
  /** Whether it reaches neither the log nor other entry hosts. */
  isPartitioned: boolean;
  /** Calls that became due during a pause. */
  deferredCalls: (() => void)[];
  /** Offset of the next record to read. */
  nextOffset: number;
  /** Incarnations of the members by name, as folded from the log. */
  incarnations: Map<string, string>;
  /** Number of membership changes folded. */
  generation: number;
  handover: SlotHandover;
  watch: WatcherState;
  logReadAtMs: number | undefined;
  /**
   * Time at which it sent the last heartbeat that its watcher answered with a
   * promise not to report it as lost for a while.
   */
  promisedAtMs: number | undefined;
  /** Whether it had the right to use slots at the last update. */
  hadSlotRights: boolean;
  scheduler: SchedulerState;
  /** Slots in which its requests run. */
  running: Set<SlotKey>;
  nextRequest: number;
};

/** Simulated data centre with its entry hosts and executors. */
export type SlotCluster = {
  events: EventQueue;
  random: Random;
  /**
   * Whether entry hosts delay the take-over of lost slots and check before each
   * send whether they may still use theirs.
   */
  isFencingEnabled: boolean;
  executors: readonly string[];
  log: MemberRecord[];
  members: ClusterMember[];
  /** Number of requests at each executor, from all entry hosts. */
  inUse: Map<string, number>;
  /** Largest number of requests that were at one executor. */
  maxInUse: number;
  /** Total run time of ended requests in milliseconds. */
  usedMs: number;
};

/** Waiting requests of each entry host, enough to use every free slot. */
const MAX_WAITING_REQUESTS = 8;

/** One-way latency of a heartbeat and of its answer. */
const MESSAGE_MS = 1;

/** Mean run time of the requests. */
const MEAN_RUN_MS = 1_500;

/**
 * Starts an entry host, which joins with a new incarnation. It replaces an
 * entry host with the same name.
 *
 * @example
 * ```ts
 * startMember(cluster, { name: "m0", incarnation: "m0-1" });
 * ```
 */
export function startMember(
  cluster: SlotCluster,
  identity: { name: string; incarnation: string },
): void {
  const member: ClusterMember = {
    ...identity,
    state: "running",
    isPartitioned: false,
    deferredCalls: [],
    nextOffset: 0,
    incarnations: new Map(),
    generation: 0,
    handover: createSlotHandover(identity.name),
    watch: createWatcherState(),
    logReadAtMs: undefined,
    promisedAtMs: undefined,
    hadSlotRights: false,
    scheduler: createScheduler({ topology: createLoadTopology([]) }),
    running: new Set(),
    nextRequest: 0,
  };
  const index = cluster.members.findIndex(({ name }) => name === member.name);
  if (index < 0) cluster.members.push(member);
  else cluster.members[index] = member;
  cluster.log.push({ type: "joined", ...identity });
  repeatUntilEnded(cluster, member, () => tickMember(cluster, member));
}

/** Runs a call of an entry host, at the end of its pause if it is paused. */
function callWhenRunning(member: ClusterMember, call: () => void): void {
  if (member.state === "ended") return;
  if (member.state === "paused") member.deferredCalls.push(call);
  else call();
}

/** Repeats a call every 250 ms until the entry host ends. */
function repeatUntilEnded(
  cluster: SlotCluster,
  member: ClusterMember,
  call: () => void,
): void {
  const callAndRepeat = () => {
    if (member.state === "ended") return;
    callWhenRunning(member, () => {
      call();
      schedule(cluster.events, cluster.events.nowMs + 250, callAndRepeat);
    });
  };
  schedule(
    cluster.events,
    cluster.events.nowMs + cluster.random() * 250,
    callAndRepeat,
  );
}

/** Reads the log, sends heartbeats, reports losses and adds requests. */
function tickMember(cluster: SlotCluster, member: ClusterMember): void {
  readLog(cluster, member);
  for (const peer of cluster.members) {
    if (peer !== member) sendHeartbeat(cluster, member, peer);
  }
  reportLosses(cluster, member);
  updateSlots(cluster, member, true);
  addLoad(cluster, member);
}

function readLog(cluster: SlotCluster, member: ClusterMember): void {
  if (member.isPartitioned) return;
  const { nowMs } = cluster.events;
  member.logReadAtMs = nowMs;
  for (; member.nextOffset < cluster.log.length; member.nextOffset++) {
    const record = cluster.log[member.nextOffset]!;
    const known = member.incarnations.get(record.name);
    if (record.type === "lost" && known !== record.incarnation) continue;
    if (record.type === "lost") member.incarnations.delete(record.name);
    else member.incarnations.set(record.name, record.incarnation);
    member.generation++;
    const isProcessGone = record.type === "lost" || known !== undefined;
    if (isProcessGone && cluster.isFencingEnabled) {
      // The previous process may start requests until its right to use slots
      // ends, and these run until the longest request would end.
      const fenceMs = FENCING_TIMEOUT_MS + MAX_REQUEST_RUN_TIME_MS;
      const untilMs = nowMs + fenceMs;
      delayTakeOver(member.handover, { untilMs, member: record.name });
    }
    updateSlotOwners(cluster, member);
  }
  retainMembers(
    member.watch,
    [...member.incarnations].map(([name, incarnation]) => ({
      name,
      incarnation,
    })),
  );
  rejoin(cluster, member);
}

function updateSlotOwners(cluster: SlotCluster, member: ClusterMember): void {
  const hosts = cluster.executors.map((name) => ({
    name,
    dataCentre: "a",
    slots: SLOTS_PER_EXECUTOR,
  }));
  const members = [...member.incarnations.keys()].map((name) => ({
    name,
    dataCentre: "a",
  }));
  const owners = new Map<SlotKey, string>();
  for (const [host, slots] of assignSlots({ hosts, members })) {
    slots.forEach((owner, slot) => {
      if (owner !== undefined) owners.set(`${host}/${slot}`, owner);
    });
  }
  const others = new Map(member.incarnations);
  others.delete(member.name);
  const { generation } = member;
  const basis = slotBasis({ generation, hosts } satisfies SlotBasisInput);
  const nextOffset = member.nextOffset + 1;
  const isMember = member.incarnations.get(member.name) === member.incarnation;
  const next = { basis, nextOffset, owners };
  changeSlotOwners(member.handover, next, { others, isMember });
}

/** Joins with a new incarnation if the current one was declared lost. */
function rejoin(cluster: SlotCluster, member: ClusterMember): void {
  if (member.incarnations.get(member.name) === member.incarnation) return;
  const isJoining = cluster.log.slice(member.nextOffset)
    .some((record) => record.name === member.name && record.type === "joined");
  if (isJoining) return;
  dropAllSlots(member.handover);
  member.incarnation = `${member.incarnation}+`;
  const { name, incarnation } = member;
  cluster.log.push({ type: "joined", name, incarnation });
}

/** Returns whether an entry host watches another, the one before it by name. */
function isWatcher(watcher: ClusterMember, name: string): boolean {
  const names = [...watcher.incarnations.keys()].sort();
  const index = names.indexOf(name);
  return index >= 0 && names[(index + 1) % names.length] === watcher.name;
}

function createUsageReport(member: ClusterMember): SlotUsageReport {
  return {
    incarnation: member.incarnation,
    basis: member.handover.history.at(-1)?.basis ?? 0n,
    nextOffset: member.nextOffset,
    held: new Set(heldSlots(member.handover, member.running)),
  };
}

function sendHeartbeat(
  cluster: SlotCluster,
  member: ClusterMember,
  peer: ClusterMember,
): void {
  if (member.isPartitioned || peer.isPartitioned) return;
  const { events } = cluster;
  const sentAtMs = events.nowMs;
  const usageReport = createUsageReport(member);
  const { name, incarnation } = member;
  schedule(events, sentAtMs + MESSAGE_MS, () => {
    callWhenRunning(peer, () => {
      recordSlotUsage(peer.handover, name, usageReport);
      const sender = { name, incarnation };
      const promiseMs = noteHeartbeat(peer.watch, sender, events.nowMs);
      const isPromised = promiseMs > 0 && isWatcher(peer, name);
      schedule(events, events.nowMs + MESSAGE_MS, () => {
        callWhenRunning(member, () => {
          if (isPromised) member.promisedAtMs = sentAtMs;
        });
      });
    });
  });
}

function reportLosses(cluster: SlotCluster, member: ClusterMember): void {
  if (member.isPartitioned) return;
  const watched = [...member.incarnations]
    .filter(([name]) => name !== member.name && isWatcher(member, name))
    .map(([name, incarnation]) => ({ name, incarnation }));
  for (const lost of findLosses(member.watch, watched, cluster.events.nowMs)) {
    cluster.log.push({ type: "lost", ...lost });
  }
}

function mayUseSlots(cluster: SlotCluster, member: ClusterMember): boolean {
  const isMember = member.incarnations.get(member.name) === member.incarnation;
  if (!cluster.isFencingEnabled) return isMember;
  const { logReadAtMs, promisedAtMs } = member;
  const watchers = [{ promisedAtMs, refusedAtMs: undefined }];
  const state = { isMember, logReadAtMs, watchers };
  return hasSlotRights(state, cluster.events.nowMs);
}

/**
 * Passes the slots that may be used now to the scheduler. Unless `isForced`, it
 * does so only if the right to use slots began or ended.
 */
function updateSlots(
  cluster: SlotCluster,
  member: ClusterMember,
  isForced: boolean,
): void {
  const { handover } = member;
  const hasSlotRightsNow = mayUseSlots(cluster, member);
  if (cluster.isFencingEnabled) takeOverSlots(handover, cluster.events.nowMs);
  else handover.usable = new Set(handover.owned);
  if (!isForced && hasSlotRightsNow === member.hadSlotRights) return;
  member.hadSlotRights = hasSlotRightsNow;
  const usable = hasSlotRightsNow ? [...handover.usable] : [];
  const topology = createLoadTopology(usable);
  advance(cluster, member, { type: "topology", topology });
}

function createLoadTopology(usable: readonly SlotKey[]): Topology {
  const hosts = new Map<string, number[]>();
  for (const key of usable) {
    const [host, slot] = key.split("/") as [string, string];
    hosts.set(host, [...(hosts.get(host) ?? []), Number(slot)]);
  }
  return {
    services: [{
      name: "load",
      pool: "load",
      sharePercent: 100,
      overflow: [],
      runTimeMs: MEAN_RUN_MS,
    }],
    pools: [{
      name: "load",
      hosts: [...hosts].map(([name, slots]) => ({
        name,
        slots,
        isLeaving: false,
      })),
    }],
  };
}

/** Adds requests until {@linkcode MAX_WAITING_REQUESTS} of them wait. */
function addLoad(cluster: SlotCluster, member: ClusterMember): void {
  const { nowMs } = cluster.events;
  while (member.scheduler.waiting.size < MAX_WAITING_REQUESTS) {
    const id = `${member.incarnation}-${member.nextRequest++}`;
    const before = member.scheduler.waiting.size;
    const request = {
      id,
      service: "load",
      urgency: "normal",
      arrivedAtMs: nowMs,
      deadlineAtMs: nowMs + 600_000,
      isForwarded: false,
      excludedHosts: [],
    } as const;
    const started = advance(cluster, member, { type: "arrived", request });
    if (!started && member.scheduler.waiting.size === before) return;
  }
}

/** Advances the scheduler and returns whether it started requests. */
function advance(
  cluster: SlotCluster,
  member: ClusterMember,
  event: SchedulerEvent,
): boolean {
  const { nowMs } = cluster.events;
  let hasStarted = false;
  for (const action of advanceScheduler(member.scheduler, event, nowMs)) {
    if (action.type !== "start") continue;
    hasStarted = true;
    sendRequest(cluster, member, action);
  }
  return hasStarted;
}

function sendRequest(
  cluster: SlotCluster,
  member: ClusterMember,
  start: { id: string; host: string; slot: number },
): void {
  const { id, host, slot } = start;
  const { events, inUse, random } = cluster;
  const key: SlotKey = `${host}/${slot}`;
  const drawnMs = drawLogNormal(random, { mean: MEAN_RUN_MS, sigma: 1 });
  const runMs = Math.min(MAX_REQUEST_RUN_TIME_MS - 10, drawnMs);
  member.running.add(key);
  const count = (inUse.get(host) ?? 0) + 1;
  inUse.set(host, count);
  cluster.maxInUse = Math.max(cluster.maxInUse, count);
  schedule(events, events.nowMs + runMs, () => {
    inUse.set(host, inUse.get(host)! - 1);
    cluster.usedMs += runMs;
    callWhenRunning(member, () => {
      member.running.delete(key);
      // Checks the right to use slots again before new requests are sent.
      updateSlots(cluster, member, false);
      const result = "succeeded";
      advance(cluster, member, {
        type: "finished",
        id,
        host,
        slot,
        runMs,
        result,
      });
      addLoad(cluster, member);
    });
  });
}
