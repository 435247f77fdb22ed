/**
 * Daemon of an entry host: connects the log, peers, decisions and requests.
 *
 * @module
 */

import { FENCING_TIMEOUT_MS, splitSlotKey } from "@lagoonloom/decisions";
import type { OperatorHandlers } from "@lagoonloom/operators";
import type { PeerClient, PeerHandlers } from "@lagoonloom/peers";
import { appendAndFold } from "./append_and_fold.ts";
import {
  type ClaimsFollower,
  createClaimsFollower,
} from "./claims_follower.ts";
import { type ControlFold, createControlFold } from "./control_fold.ts";
import { createCheckpoints } from "./checkpoints.ts";
import type { DaemonDependencies } from "./daemon_dependencies.ts";
import { createHostListCache } from "./host_list_cache.ts";
import { createJobLoop } from "./jobs/mod.ts";
import { listPeerTargets } from "./list_peer_targets.ts";
import { isHeartbeatInitiator } from "./is_heartbeat_initiator.ts";
import { createLogFollower } from "./log_follower.ts";
import {
  catchUpFromPeer,
  NEVER_READ_AGE_MS,
  QUERY_PEERS_AGE_MS,
} from "./catch_up_from_peer.ts";
import { createCapacityController } from "./capacity/mod.ts";
import { whyLeaving } from "./build_topology.ts";
import { createMembership, type Membership } from "./membership.ts";
import { createOperatorHandlers } from "./operator_handlers.ts";
import { createPeerHandlers } from "./peer_handlers.ts";
import {
  createPeerLinks,
  type OwnHeartbeat,
  type PeerLinks,
  toSlotUsageReport,
} from "./peer_links.ts";
import { createDaemonRequestPath } from "./request_path.ts";
import type { RequestPath } from "./requests/mod.ts";
import { createRunningSlots } from "./running_slots.ts";
import { createSlotControl } from "./slot_control.ts";
import { createWorkerClient } from "@lagoonloom/workers";
import { createTopologyUpdater } from "./topology_updater.ts";

/** Interval of the daemon's ticks in milliseconds. */
const TICK_MS = 100;

/** Daemon of an entry host without its network listeners. */
export type Daemon = {
  fold: ControlFold;
  membership: Membership;
  requestPath: RequestPath;
  operatorHandlers: OperatorHandlers;
  peerHandlers: PeerHandlers;
  /** Returns whether callers may send requests. */
  isReady(): boolean;
  /** Starts the ticks and the followers of the log. */
  start(): void;
  /**
   * Reports the daemon as not ready from now on and offers no more slots to
   * other entry hosts.
   */
  setStopping(): void;
  /**
   * Leaves the members if all requests have ended, then stops the ticks and
   * closes the connections.
   */
  stop(options: { isDrained: boolean }): Promise<void>;
};

/**
 * Creates the daemon of an entry host without its network listeners. It folds
 * the records of the log and, on every change and tick, takes the decisions
 * that are due and carries them out.
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
    peersAhead: () => peersAhead(links, fold),
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
  const hostList = createHostListCache(platform, { events });
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
  const checkpoints = createCheckpoints({
    platform,
    fold,
    events,
    retentionMs: follower.retentionMs,
    rank() {
      const names = [...fold.state().members.keys()].sort();
      return membership.isMember() ? names.indexOf(name) : undefined;
    },
  });
  const links: PeerLinks = createPeerLinks({
    connect: dependencies.connectPeer,
    describeSelf,
    reportSlots: () =>
      isStopping
        ? Object.keys(fold.state().set.pools)
          .map((pool) => ({ pool, free: 0, lent: 0 }))
        : requestPath.reportSlots(),
    needsAnswers: (link) =>
      membership.mayReportLossOfSelf(link.name) ||
      (logAgeMs() ?? Infinity) > QUERY_PEERS_AGE_MS,
    isInitiatedBy: (link) =>
      isHeartbeatInitiator({ self: name, other: link.name }, fold.state()),
    onAnswer(link, response, sentAtMs) {
      slots.receiveUsageReport(link.name, toSlotUsageReport(response));
      void catchUpFromPeer(link, { fold, follower, links, sentAtMs });
    },
  });

  const logIsFresh = () => (logAgeMs() ?? Infinity) < FENCING_TIMEOUT_MS;
  const capacity = createCapacityController({
    name,
    dataCentre,
    incarnation: membership.incarnation,
    logIsFresh,
    fold,
    append,
    platform,
    events,
    links: () => links,
    running: running.list,
    reportSlots: requestPath.reportSlots,
    isListed: hostList.isListed,
    bootedAtMs: hostList.bootedAtMs,
    longestRequestMs,
  });

  const topologyUpdater = createTopologyUpdater({
    dataCentre,
    fold,
    slots,
    hostList,
    links,
    requestPath,
  });

  function logAgeMs(): number | undefined {
    const readAtMs = follower.readAtMs();
    return readAtMs === undefined ? undefined : performance.now() - readAtMs;
  }

  function describeSelf(): OwnHeartbeat {
    const state = fold.state();
    const { nextOffset, generation, setVersion } = state;
    return {
      member: name,
      incarnation: membership.incarnation(),
      dataCentre,
      nextOffset,
      generation,
      setVersion,
      logAgeMs: Math.min(
        Math.ceil(logAgeMs() ?? NEVER_READ_AGE_MS),
        NEVER_READ_AGE_MS,
      ),
      ...slots.ownUsageReport(performance.now()),
      busyHosts: busyLeavingHosts(),
    };
  }

  function busyLeavingHosts(): string[] {
    const source = {
      state: fold.state(),
      listedLeaving: hostList.leaving(),
    };
    const busy = running.list(performance.now())
      .map((slot) => splitSlotKey(slot).host);
    return [...new Set(busy)]
      .filter((host) => whyLeaving(host, source) !== undefined);
  }

  /**
   * Returns whether the state is at least as new as that of each reachable
   * peer. Each peer must have been called once; a daemon that starts from peers
   * alone waits until each has answered or is unreachable. Once it has been
   * ready, the daemon stays so while it is behind its peers.
   */
  function isCaughtUp(): boolean {
    if (!follower.isLoaded()) return false;
    const nowMs = performance.now();
    const awaitsAnswers = !wasReady && !follower.hasReadLog();
    return links.all().every((link) =>
      link.hasFirstResult &&
      !(awaitsAnswers && links.isFirstAnswerPending(link, nowMs)) &&
      (!links.isReachable(link, nowMs) ||
        link.nextOffset <= fold.state().nextOffset || wasReady)
    );
  }

  function isReady(): boolean {
    return !isStopping && isCaughtUp();
  }

  function updateMetrics(): void {
    const state = fold.state();
    metrics.setObjectSetVersion(state.setVersion);
    metrics.setLogPosition({
      nextOffset: state.nextOffset,
      ageMs: logAgeMs() ?? NEVER_READ_AGE_MS,
    });
    metrics.setSlots({
      usable: slots.usable().size,
      running: requestPath.runningSlots(),
    });
  }

  const workers = createWorkerClient({
    timeoutMs: settings.bounds.platform_ms,
  });
  const jobs = createJobLoop({
    name,
    incarnation: membership.incarnation,
    fold,
    isReady,
    logIsFresh,
    hasMemberRights: membership.hasSlotRights,
    memberOffset: (member) =>
      links.all().find((link) => link.name === member)?.nextOffset,
    append: ({ id, body }) => append(id, body),
    workers,
    events,
  });

  function tick(): void {
    const nowMs = performance.now();
    links.tick(nowMs);
    jobs.tick(nowMs);
    membership.tick(nowMs);
    if (slots.advance(nowMs)) topologyUpdater.rebuild();
    topologyUpdater.tick(nowMs);
    void hostList.tick(nowMs).then((hasChanged) => {
      if (hasChanged) topologyUpdater.rebuild();
    });
    void checkpoints.tick(nowMs);
    if (!isStopping && membership.isMember()) capacity.tick(nowMs);
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
    links.setTargets(listPeerTargets(fold.state(), settings));
    slots.advance(performance.now());
    topologyUpdater.rebuild();
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
      links: () => links,
    }),
    peerHandlers: createPeerHandlers({
      fold,
      path: requestPath,
      describeSelf,
      onHeartbeat(request) {
        const { member, incarnation } = request;
        const reply = links.receiveHeartbeat(request, performance.now());
        slots.receiveUsageReport(member, toSlotUsageReport(request));
        const sender = { name: member, incarnation };
        return { ...reply, promiseMs: membership.noteHeartbeat(sender) };
      },
    }),
    isReady,
    start() {
      links.setTargets(listPeerTargets(fold.state(), settings));
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
      workers.close();
      links.close();
      requestPath.close();
    },
  };
}

function peersAhead(links: PeerLinks, fold: ControlFold): PeerClient[] {
  const nowMs = performance.now();
  return links.all()
    .filter((link) => links.isReachable(link, nowMs))
    .filter((link) => link.nextOffset > fold.state().nextOffset)
    .sort((a, b) => b.nextOffset - a.nextOffset)
    .map((link) => link.client);
}
