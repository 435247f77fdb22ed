import { type FleetState } from "@lagoonloom/decisions";
import type { OperatorHandlers } from "@lagoonloom/operators";
import type { PeerClient, PeerHandlers } from "@lagoonloom/peers";
import type { PlatformClient } from "@lagoonloom/platform";
import type { EventLog, Metrics } from "@lagoonloom/telemetry";
import { appendAndFold } from "./append_and_fold.ts";
import { buildTopology, listRemoteSlots } from "./build_topology.ts";
import {
  type ClaimsFollower,
  createClaimsFollower,
} from "./claims_follower.ts";
import { type ControlFold, createControlFold } from "./control_fold.ts";
import { createHostListCopy } from "./host_list.ts";
import { createLogFollower } from "./log_follower.ts";
import { createMembership, type Membership } from "./membership.ts";
import { createOperatorHandlers } from "./operator_handlers.ts";
import { createPeerHandlers } from "./peer_handlers.ts";
import {
  createPeerLinks,
  type OwnHeartbeat,
  type PeerLink,
  type PeerLinks,
  toStatement,
} from "./peer_links.ts";
import { createDaemonRequestPath } from "./request_path.ts";
import type { RequestPath } from "./requests/mod.ts";
import { createRunningSlots } from "./running_slots.ts";
import type { DaemonSettings } from "./settings.ts";
import { createSlotControl } from "./slot_control.ts";

/** Interval of the loop in milliseconds. */
const TICK_MS = 100;

/** Age of the log in milliseconds from which peers are asked for records. */
const RELAY_AGE_MS = 700;

/** What the daemon gets from outside. */
export type DaemonDependencies = {
  settings: DaemonSettings;
  platform: PlatformClient;
  connectPeer: (address: string) => PeerClient;
  events: EventLog;
  metrics: Metrics;
  createIncarnation: () => string;
};

/** Daemon of an entry host without its listeners. */
export type Daemon = {
  fold: ControlFold;
  membership: Membership;
  requestPath: RequestPath;
  operatorHandlers: OperatorHandlers;
  peerHandlers: PeerHandlers;
  isReady(): boolean;
  /** Starts the loop and the followers of the log. */
  start(): void;
  /** Is not ready from now on and offers no slots to other entry hosts. */
  setStopping(): void;
  /** Leaves the membership if all requests have ended, and stops the loop. */
  stop(options: { isDrained: boolean }): Promise<void>;
};

/**
 * Creates the daemon of an entry host without its listeners. One loop folds
 * records, gives events to the decisions and carries out their actions.
 *
 * @example
 * ```ts
 * const daemon = createDaemon(dependencies);
 * daemon.start();
 * ```
 */
export function createDaemon(dependencies: DaemonDependencies): Daemon {
  const { settings, platform, events, metrics } = dependencies;
  const { name, data_centre: dataCentre } = settings.daemon;
  const longestRequestMs = settings.bounds.longest_request_ms;
  const stopped = new AbortController();
  const fold = createControlFold();
  const append = (
    id: string,
    body: Parameters<typeof appendAndFold>[0]["body"],
  ) =>
    appendAndFold({ id, body }, {
      platform,
      fold,
      waitMs: settings.bounds.publish_ms,
    });
  let isStopping = false;
  let wasReady = false;
  let timer: ReturnType<typeof setInterval> | undefined;

  const follower = createLogFollower({
    platform,
    fold,
    events,
    signal: stopped.signal,
    peersAhead: () => peersAhead(links, fold).map((link) => link.client),
  });
  const running = createRunningSlots({ longestRequestMs });
  const membership = createMembership({
    name,
    dataCentre,
    peerAddress: settings.peers.address,
    operatorAddress: settings.operators.address,
    fold,
    links: () => links,
    events,
    logReadAtMs: follower.readAtMs,
    isCaughtUp,
    append,
    createIncarnation: dependencies.createIncarnation,
  });
  const slots = createSlotControl({
    name,
    dataCentre,
    incarnation: membership.incarnation,
    fold,
    running,
    longestRequestMs,
  });
  const hostList = createHostListCopy(platform, { events });
  const requestPath = createDaemonRequestPath({
    dependencies,
    fold,
    membership,
    running,
    links: () => links,
    isReady,
    logIsFresh: () => claims.isFresh(),
  });
  const claims: ClaimsFollower = createClaimsFollower({
    platform,
    fold: requestPath.foldClaim,
    signal: stopped.signal,
  });
  const links: PeerLinks = createPeerLinks({
    connect: dependencies.connectPeer,
    describe,
    freeSlots: () =>
      isStopping
        ? new Map(Object.keys(fold.state().set.pools).map((it) => [it, 0]))
        : requestPath.freeSlotsByPool(),
    onAnswer(link, response, sentAtMs) {
      slots.hear(link.name, toStatement(response));
      void relay(link, sentAtMs);
    },
  });

  function logAgeMs(): number | undefined {
    const readAtMs = follower.readAtMs();
    return readAtMs === undefined ? undefined : performance.now() - readAtMs;
  }

  function describe(): OwnHeartbeat {
    const state = fold.state();
    const { nextOffset, generation, setVersion } = state;
    return {
      member: name,
      incarnation: membership.incarnation(),
      dataCentre,
      nextOffset,
      generation,
      setVersion,
      logAgeMs: Math.min(Math.ceil(logAgeMs() ?? MAX_AGE_MS), MAX_AGE_MS),
      ...slots.statement(performance.now()),
    };
  }

  /** Uses what a peer read of the log, if this entry host can't read it. */
  async function relay(link: PeerLink, sentAtMs: number): Promise<void> {
    const isBehind = link.nextOffset > fold.state().nextOffset;
    const readAtMs = sentAtMs - link.logAgeMs;
    const isOld = (logAgeMs() ?? Infinity) > RELAY_AGE_MS;
    if (isBehind && isOld) {
      if (!await follower.catchUp(link.client, link.nextOffset)) return;
    }
    if (link.nextOffset > fold.state().nextOffset) return;
    if (link.logAgeMs < MAX_AGE_MS) follower.noteRelay(readAtMs);
  }

  /** At least as new as every reachable peer, each of which was tried. */
  function isCaughtUp(): boolean {
    if (!follower.isLoaded()) return false;
    const nowMs = performance.now();
    return links.all().every((link) =>
      link.wasTried && (!links.isAnswering(link, nowMs) ||
        link.nextOffset <= fold.state().nextOffset || wasReady)
    );
  }

  function isReady(): boolean {
    return !isStopping && isCaughtUp();
  }

  function updateTopology(): void {
    const state = fold.state();
    const topology = buildTopology({
      state,
      dataCentre,
      usable: slots.usable(),
      listedLeaving: hostList.leaving(),
    });
    requestPath.updateTopology(topology, remoteSlots(state));
  }

  function remoteSlots(state: FleetState) {
    return listRemoteSlots(links, {
      nowMs: performance.now(),
      isNear: (member) => state.members.get(member)?.dataCentre === dataCentre,
    });
  }

  function setTargets(): void {
    const addresses = new Map<string, boolean>(
      settings.peers.seeds.map((address) => [address, true]),
    );
    for (const member of fold.state().members.values()) {
      if (!isInRegion(fold.state(), member.dataCentre, settings)) continue;
      addresses.set(member.peerAddress, member.dataCentre === dataCentre);
    }
    addresses.delete(settings.peers.address);
    links.setTargets(
      [...addresses].map(([address, isNear]) => ({ address, isNear })),
    );
  }

  function updateMetrics(): void {
    const state = fold.state();
    metrics.setSetVersion(state.setVersion);
    metrics.setLogPosition({
      nextOffset: state.nextOffset,
      ageMs: logAgeMs() ?? MAX_AGE_MS,
    });
    metrics.setSlots({
      usable: slots.usable().size,
      running: requestPath.runningSlots(),
    });
  }

  function tick(): void {
    const nowMs = performance.now();
    links.tick(nowMs);
    membership.tick(nowMs);
    slots.advance(nowMs);
    // Counts of free slots change all the time, so that the topology is
    // updated with each step of the loop.
    updateTopology();
    void hostList.tick(nowMs).then((hasChanged) => {
      if (hasChanged) updateTopology();
    });
    updateMetrics();
    if (wasReady || !isReady()) return;
    wasReady = true;
    const { nextOffset, setVersion } = fold.state();
    events.log("daemonReady", { nextOffset, setVersion });
  }

  fold.onChange((change) => {
    if (change.type === "record") {
      metrics.countRecord(change.outcome.type);
      return;
    }
    if (change.type !== "settled") return;
    metrics.allowServices(Object.keys(fold.state().set.services));
    setTargets();
    slots.advance(performance.now());
    updateTopology();
  });

  return {
    fold,
    membership,
    requestPath,
    operatorHandlers: createOperatorHandlers({
      name,
      dataCentre,
      fold,
      platform,
      events,
      waitMs: settings.bounds.publish_ms,
      isReady,
      logAgeMs,
      listedLeaving: hostList.leaving,
    }),
    peerHandlers: createPeerHandlers({
      fold,
      path: requestPath,
      describe,
      onHeartbeat(request) {
        const { member, incarnation } = request;
        links.receive(request, performance.now());
        slots.hear(member, toStatement(request));
        return membership.noteHeartbeat({ name: member, incarnation });
      },
    }),
    isReady,
    start() {
      setTargets();
      void follower.run();
      void claims.run();
      timer = setInterval(tick, TICK_MS);
      tick();
    },
    setStopping() {
      isStopping = true;
    },
    async stop({ isDrained }) {
      if (isDrained) await membership.leave();
      clearInterval(timer);
      stopped.abort();
      links.close();
      requestPath.close();
    },
  };
}

/** Age that stands for a log that was never read, in milliseconds. */
const MAX_AGE_MS = 0xffff_ffff;

function peersAhead(links: PeerLinks, fold: ControlFold): PeerLink[] {
  const nowMs = performance.now();
  return links.all()
    .filter((link) => links.isAnswering(link, nowMs))
    .filter((link) => link.nextOffset > fold.state().nextOffset)
    .sort((a, b) => b.nextOffset - a.nextOffset);
}

/** A data centre without hosts in the set may be in the region. */
function isInRegion(
  state: FleetState,
  dataCentre: string,
  settings: DaemonSettings,
): boolean {
  for (const host of Object.values(state.set.hosts)) {
    if (host.data_centre !== dataCentre) continue;
    return host.region === settings.daemon.region;
  }
  return true;
}
