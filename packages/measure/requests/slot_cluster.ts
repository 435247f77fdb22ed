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

/** Record of the simulated log. */
export type MemberRecord =
  | { type: "joined"; name: string; incarnation: string }
  | { type: "lost"; name: string; incarnation: string };

/** Entry host of the simulated data centre. */
export type ClusterMember = {
  name: string;
  incarnation: string;
  state: "running" | "paused" | "ended";
  isPartitioned: boolean;
  /** Calls that wait for the end of a pause. */
  paused: (() => void)[];
  nextOffset: number;
  /** Incarnations by member, as folded from the log. */
  folded: Map<string, string>;
  generation: number;
  handover: SlotHandover;
  watch: WatcherState;
  logReadAtMs: number | undefined;
  promisedAtMs: number | undefined;
  hadRights: boolean;
  scheduler: SchedulerState;
  running: Set<SlotKey>;
  nextRequest: number;
};

/** Data centre whose entry hosts fail. */
export type SlotCluster = {
  events: EventQueue;
  random: Random;
  /** Whether take-overs wait and slot rights are checked. */
  isFenced: boolean;
  executors: readonly string[];
  log: MemberRecord[];
  members: ClusterMember[];
  /** Requests at each executor, whoever sent them. */
  inUse: Map<string, number>;
  mostInUse: number;
  /** Slot time used in milliseconds. */
  usedMs: number;
};

/** Requests that each entry host keeps waiting, so that it uses every slot. */
const BACKLOG = 8;

const MESSAGE_MS = 1;
const MEAN_RUN_MS = 1_500;

/**
 * Starts an entry host with a new incarnation and lets it join.
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
    paused: [],
    nextOffset: 0,
    folded: new Map(),
    generation: 0,
    handover: createSlotHandover(identity.name),
    watch: createWatcherState(),
    logReadAtMs: undefined,
    promisedAtMs: undefined,
    hadRights: false,
    scheduler: createScheduler({ topology: createLoadTopology([]) }),
    running: new Set(),
    nextRequest: 0,
  };
  const index = cluster.members.findIndex(({ name }) => name === member.name);
  if (index < 0) cluster.members.push(member);
  else cluster.members[index] = member;
  cluster.log.push({ type: "joined", ...identity });
  repeatFor(cluster, member, () => stepMember(cluster, member));
}

/** Runs a call of an entry host, after its pause if it is paused. */
function deliver(member: ClusterMember, call: () => void): void {
  if (member.state === "ended") return;
  if (member.state === "paused") member.paused.push(call);
  else call();
}

function repeatFor(
  cluster: SlotCluster,
  member: ClusterMember,
  call: () => void,
): void {
  const again = () => {
    if (member.state === "ended") return;
    deliver(member, () => {
      call();
      schedule(cluster.events, cluster.events.nowMs + 250, again);
    });
  };
  schedule(
    cluster.events,
    cluster.events.nowMs + cluster.random() * 250,
    again,
  );
}

/** Reads the log, sends heartbeats, reports losses and updates the slots. */
function stepMember(cluster: SlotCluster, member: ClusterMember): void {
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
    const known = member.folded.get(record.name);
    if (record.type === "lost" && known !== record.incarnation) continue;
    if (record.type === "lost") member.folded.delete(record.name);
    else member.folded.set(record.name, record.incarnation);
    member.generation++;
    const isReplaced = record.type === "lost" || known !== undefined;
    if (isReplaced && cluster.isFenced) {
      const fenceMs = FENCING_TIMEOUT_MS + MAX_REQUEST_RUN_TIME_MS;
      const untilMs = nowMs + fenceMs;
      delayTakeOver(member.handover, { untilMs, member: record.name });
    }
    changeOwners(cluster, member);
  }
  retainMembers(
    member.watch,
    [...member.folded].map(([name, incarnation]) => ({ name, incarnation })),
  );
  rejoin(cluster, member);
}

function changeOwners(cluster: SlotCluster, member: ClusterMember): void {
  const hosts = cluster.executors.map((name) => ({
    name,
    dataCentre: "a",
    slots: SLOTS_PER_EXECUTOR,
  }));
  const members = [...member.folded.keys()].map((name) => ({
    name,
    dataCentre: "a",
  }));
  const owners = new Map<SlotKey, string>();
  for (const [host, slots] of assignSlots({ hosts, members })) {
    slots.forEach((owner, slot) => {
      if (owner !== undefined) owners.set(`${host}/${slot}`, owner);
    });
  }
  const others = new Map(member.folded);
  others.delete(member.name);
  const { generation } = member;
  const basis = slotBasis({ generation, hosts } satisfies SlotBasisInput);
  const nextOffset = member.nextOffset + 1;
  const isMember = member.folded.get(member.name) === member.incarnation;
  const next = { basis, nextOffset, owners };
  changeSlotOwners(member.handover, next, { others, isMember });
}

/** Joins again after the own incarnation was reported as lost. */
function rejoin(cluster: SlotCluster, member: ClusterMember): void {
  if (member.folded.get(member.name) === member.incarnation) return;
  const isJoining = cluster.log.slice(member.nextOffset)
    .some((record) => record.name === member.name && record.type === "joined");
  if (isJoining) return;
  dropAllSlots(member.handover);
  member.incarnation = `${member.incarnation}+`;
  const { name, incarnation } = member;
  cluster.log.push({ type: "joined", name, incarnation });
}

/** The watcher of an entry host is the next one by name. */
function isWatcher(watcher: ClusterMember, name: string): boolean {
  const names = [...watcher.folded.keys()].sort();
  const index = names.indexOf(name);
  return index >= 0 && names[(index + 1) % names.length] === watcher.name;
}

function createStatement(member: ClusterMember): SlotUsageReport {
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
  const statement = createStatement(member);
  const { name, incarnation } = member;
  schedule(events, sentAtMs + MESSAGE_MS, () => {
    deliver(peer, () => {
      recordSlotUsage(peer.handover, name, statement);
      const sender = { name, incarnation };
      const promiseMs = noteHeartbeat(peer.watch, sender, events.nowMs);
      const isPromise = promiseMs > 0 && isWatcher(peer, name);
      schedule(events, events.nowMs + MESSAGE_MS, () => {
        deliver(member, () => {
          if (isPromise) member.promisedAtMs = sentAtMs;
        });
      });
    });
  });
}

function reportLosses(cluster: SlotCluster, member: ClusterMember): void {
  if (member.isPartitioned) return;
  const watched = [...member.folded]
    .filter(([name]) => name !== member.name && isWatcher(member, name))
    .map(([name, incarnation]) => ({ name, incarnation }));
  for (const lost of findLosses(member.watch, watched, cluster.events.nowMs)) {
    cluster.log.push({ type: "lost", ...lost });
  }
}

function hasRights(cluster: SlotCluster, member: ClusterMember): boolean {
  const isMember = member.folded.get(member.name) === member.incarnation;
  if (!cluster.isFenced) return isMember;
  const { logReadAtMs, promisedAtMs } = member;
  const watchers = [{ promisedAtMs, refusedAtMs: undefined }];
  const state = { isMember, logReadAtMs, watchers };
  return hasSlotRights(state, cluster.events.nowMs);
}

/** Gives the scheduler the slots that may be used now. */
function updateSlots(
  cluster: SlotCluster,
  member: ClusterMember,
  isDue: boolean,
): void {
  const { handover } = member;
  const rights = hasRights(cluster, member);
  if (cluster.isFenced) takeOverSlots(handover, cluster.events.nowMs);
  else handover.usable = new Set(handover.owned);
  if (!isDue && rights === member.hadRights) return;
  member.hadRights = rights;
  const usable = rights ? [...handover.usable] : [];
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

function addLoad(cluster: SlotCluster, member: ClusterMember): void {
  const { nowMs } = cluster.events;
  while (member.scheduler.waiting.size < BACKLOG) {
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

/** Advances the scheduler and sends what it starts. */
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
  const drawn = drawLogNormal(random, { mean: MEAN_RUN_MS, sigma: 1 });
  const runMs = Math.min(MAX_REQUEST_RUN_TIME_MS - 10, drawn);
  member.running.add(key);
  const count = (inUse.get(host) ?? 0) + 1;
  inUse.set(host, count);
  cluster.mostInUse = Math.max(cluster.mostInUse, count);
  schedule(events, events.nowMs + runMs, () => {
    inUse.set(host, inUse.get(host)! - 1);
    cluster.usedMs += runMs;
    deliver(member, () => {
      member.running.delete(key);
      // The right to use slots is checked before each send.
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
