/**
 * Links to other entry hosts: exchanges heartbeats and counts of free slots.
 *
 * @module
 */

import {
  type SlotKey,
  type SlotReport,
  type SlotUsageReport,
  splitSlotKey,
} from "@lagoonloom/decisions";
import type {
  HeartbeatRequest,
  HeartbeatResponse,
  PeerClient,
} from "@lagoonloom/peers";

/** Interval of heartbeats within a data centre in milliseconds. */
export const NEAR_HEARTBEAT_INTERVAL_MS = 500;

/** Interval of heartbeats within a region in milliseconds. */
export const FAR_HEARTBEAT_INTERVAL_MS = 1_000;

/** Timeout of a heartbeat in milliseconds, below half the fencing timeout. */
const HEARTBEAT_TIMEOUT_MS = 800;

/**
 * Number of intervals after a received heartbeat in which none is sent to the
 * peer that initiates them. Afterwards, the peer's next heartbeat is overdue.
 */
const SUPPRESSION_INTERVALS = 1.5;

/** Time in milliseconds without contact after which a peer is unreachable. */
const UNREACHABLE_AFTER_MS = 3_000;

/** Other entry host to which heartbeats are sent. */
export type PeerTarget = {
  address: string;
  /** Whether it is in this data centre; assumed for seeds until they join. */
  isSameDataCentre: boolean;
};

/** Connection to another entry host and the state that it reported. */
export type PeerLink = PeerTarget & {
  client: PeerClient;
  /** Name in its last heartbeat or answer; empty before the first one. */
  name: string;
  incarnation: string;
  nextOffset: number;
  generation: number;
  setVersion: number;
  /** Time in milliseconds since it read the log, at its last message. */
  logAgeMs: number;
  /** Monotonic time of its last heartbeat, or of the last one it answered. */
  answeredAtMs: number | undefined;
  /** Monotonic time of the last heartbeat that it answered with a promise. */
  promisedAtMs: number | undefined;
  /** Monotonic time of the last heartbeat whose connection it refused. */
  refusedAtMs: number | undefined;
  /** Whether the first heartbeat to it was answered or failed. */
  hasFirstResult: boolean;
  /** Monotonic time at which this entry host began to call it. */
  createdAtMs: number;
  /** Free and lent slots by pool that it reported. */
  freeSlots: Map<string, SlotReport>;
  /** Leaving hosts on which it had requests in flight. */
  busyHosts: ReadonlySet<string>;
  /** Counts by pool that it is known to have received. */
  acknowledgedFreeSlots: Map<string, SlotReport>;
  /** Counts in the last message to it, which it may not have received. */
  unacknowledged: { id: number; reports: readonly SlotReport[] };
  /** Identifier of the newest counts that were received from it. */
  receivedReportId: number;
  /** Monotonic time of the last heartbeat sent to it. */
  sentAtMs: number;
  /** Monotonic time until which no heartbeat is sent to it. */
  suppressedUntilMs: number;
  isHeartbeatInFlight: boolean;
};

/** State of this entry host that its heartbeats and answers carry. */
export type OwnHeartbeat = {
  member: string;
  incarnation: string;
  dataCentre: string;
  nextOffset: number;
  generation: number;
  setVersion: number;
  logAgeMs: number;
  slotBasis: bigint;
  held: readonly SlotKey[];
  /** Leaving hosts on which this entry host has requests in flight. */
  busyHosts: string[];
};

/** Options of {@linkcode createPeerLinks}. */
export type PeerLinksOptions = {
  connect: (address: string) => PeerClient;
  describeSelf: () => OwnHeartbeat;
  reportSlots: () => readonly SlotReport[];
  /**
   * Whether to send heartbeats to a peer that already sends them itself. Only
   * answers carry a promise and lead to a call of `onAnswer`.
   */
  needsAnswers: (link: PeerLink) => boolean;
  /** Whether the peer initiates the heartbeats of the pair. */
  isInitiatedBy: (link: PeerLink) => boolean;
  /** Called after each answered heartbeat with the time when it was sent. */
  onAnswer: (
    link: PeerLink,
    response: HeartbeatResponse,
    sentAtMs: number,
  ) => void;
};

/** Counts of free slots in the answer to a heartbeat. */
export type SlotCountsReply = { freeSlots: SlotReport[]; reportId: number };

/** Links to the other entry hosts, over which heartbeats are exchanged. */
export type PeerLinks = {
  /** Connects to new targets and closes the connections to former ones. */
  setTargets(targets: readonly PeerTarget[]): void;
  /** Sends the heartbeats that are due. */
  tick(nowMs: number): void;
  all(): readonly PeerLink[];
  find(name: string): PeerLink | undefined;
  /**
   * Records the state in a received heartbeat and returns the counts of free
   * slots for the answer.
   */
  receiveHeartbeat(request: HeartbeatRequest, nowMs: number): SlotCountsReply;
  isReachable(link: PeerLink, nowMs: number): boolean;
  /**
   * Returns whether a peer may still send its first answer: it has not answered
   * or refused the connection yet, and is not unreachable.
   */
  isFirstAnswerPending(link: PeerLink, nowMs: number): boolean;
  close(): void;
};

/**
 * Creates the links to the other entry hosts. Heartbeats carry the counts of
 * free slots only of pools whose counts changed since the peer last
 * acknowledged them, which keeps the control traffic within 6 KB/s.
 *
 * @example
 * ```ts
 * const links = createPeerLinks(options);
 * links.setTargets([{ address: "10.0.0.2:7200", isSameDataCentre: true }]);
 * ```
 */
export function createPeerLinks(options: PeerLinksOptions): PeerLinks {
  const links = new Map<string, PeerLink>();
  // Shared by all links, so that a link that is created again continues it.
  let reportId = 0;
  const nextReportId = () => ++reportId;
  return {
    setTargets(targets) {
      const wanted = new Map(targets.map((it) => [it.address, it]));
      for (const [address, link] of links) {
        const target = wanted.get(address);
        if (target !== undefined) {
          link.isSameDataCentre = target.isSameDataCentre;
        } else {
          link.client.close();
          links.delete(address);
        }
      }
      for (const [address, target] of wanted) {
        if (links.has(address)) continue;
        links.set(address, createLink(target, options.connect(address)));
      }
    },
    tick(nowMs) {
      for (const link of links.values()) {
        if (!isDue(link, options, nowMs)) continue;
        void sendHeartbeat(link, { ...options, nextReportId });
      }
    },
    all: () => [...links.values()],
    find: (name) => [...links.values()].find((link) => link.name === name),
    receiveHeartbeat(request, nowMs) {
      const link = [...links.values()].find((it) => it.name === request.member);
      if (link === undefined) return { freeSlots: [], reportId: 0 };
      updateState(link, request, nowMs);
      receiveReports(link, request);
      acknowledgeReports(link, request.receivedReportId);
      if (options.isInitiatedBy(link)) {
        link.suppressedUntilMs = nowMs +
          SUPPRESSION_INTERVALS * intervalOf(link);
      }
      return prepareReports(link, options.reportSlots(), nextReportId());
    },
    isReachable: (link, nowMs) =>
      link.answeredAtMs !== undefined &&
      nowMs - link.answeredAtMs < UNREACHABLE_AFTER_MS,
    isFirstAnswerPending: (link, nowMs) =>
      link.answeredAtMs === undefined && link.refusedAtMs === undefined &&
      nowMs - link.createdAtMs < UNREACHABLE_AFTER_MS,
    close() {
      for (const link of links.values()) link.client.close();
      links.clear();
    },
  };
}

function createLink(target: PeerTarget, client: PeerClient): PeerLink {
  return {
    ...target,
    client,
    name: "",
    incarnation: "",
    nextOffset: 0,
    generation: 0,
    setVersion: 0,
    logAgeMs: 0,
    answeredAtMs: undefined,
    promisedAtMs: undefined,
    refusedAtMs: undefined,
    hasFirstResult: false,
    createdAtMs: performance.now(),
    freeSlots: new Map(),
    busyHosts: new Set(),
    acknowledgedFreeSlots: new Map(),
    unacknowledged: { id: 0, reports: [] },
    receivedReportId: 0,
    sentAtMs: -Infinity,
    suppressedUntilMs: -Infinity,
    isHeartbeatInFlight: false,
  };
}

function intervalOf(link: PeerLink): number {
  return link.isSameDataCentre
    ? NEAR_HEARTBEAT_INTERVAL_MS
    : FAR_HEARTBEAT_INTERVAL_MS;
}

function isDue(
  link: PeerLink,
  options: PeerLinksOptions,
  nowMs: number,
): boolean {
  if (link.isHeartbeatInFlight || nowMs < link.sentAtMs + intervalOf(link)) {
    return false;
  }
  return nowMs >= link.suppressedUntilMs || options.needsAnswers(link);
}

/**
 * Returns the counts that the peer may not have. Each message contains them
 * again until the peer acknowledges them.
 */
function prepareReports(
  link: PeerLink,
  reports: readonly SlotReport[],
  reportId: number,
): SlotCountsReply {
  const freeSlots = reports.filter(({ pool, free, lent }) => {
    const sent = link.acknowledgedFreeSlots.get(pool);
    return sent?.free !== free || sent.lent !== lent;
  });
  for (const { pool } of freeSlots) link.acknowledgedFreeSlots.delete(pool);
  link.unacknowledged = { id: reportId, reports: freeSlots };
  return { freeSlots, reportId };
}

function acknowledgeReports(link: PeerLink, reportId: number): void {
  const { id, reports } = link.unacknowledged;
  if (reportId !== id) return;
  for (const report of reports) {
    link.acknowledgedFreeSlots.set(report.pool, report);
  }
}

function receiveReports(
  link: PeerLink,
  message: HeartbeatRequest | HeartbeatResponse,
): void {
  if (message.reportId <= link.receivedReportId) return;
  link.receivedReportId = message.reportId;
  for (const { pool, free, lent } of message.freeSlots) {
    link.freeSlots.set(pool, { pool, free, lent });
  }
}

async function sendHeartbeat(
  link: PeerLink,
  options: PeerLinksOptions & { nextReportId: () => number },
): Promise<void> {
  const sentAtMs = performance.now();
  link.sentAtMs = sentAtMs;
  link.isHeartbeatInFlight = true;
  const { incarnation } = link;
  const reports = prepareReports(
    link,
    options.reportSlots(),
    options.nextReportId(),
  );
  const { held, ...own } = options.describeSelf();
  const outcome = await link.client.heartbeat({
    ...own,
    ...reports,
    nextOffset: BigInt(own.nextOffset),
    generation: BigInt(own.generation),
    setVersion: BigInt(own.setVersion),
    held: held.map(splitSlotKey),
    receivedReportId: link.receivedReportId,
  }, { timeoutMs: HEARTBEAT_TIMEOUT_MS });
  link.isHeartbeatInFlight = false;
  link.hasFirstResult = true;
  if (outcome.type === "unreachable") {
    if (outcome.isConnectionRefused) link.refusedAtMs = sentAtMs;
    return;
  }
  const { response } = outcome;
  // Ignores the answer of an earlier process after a message of a newer one.
  const isOutdated = link.incarnation !== incarnation &&
    link.incarnation !== response.incarnation;
  if (isOutdated) return;
  updateState(link, response, sentAtMs);
  receiveReports(link, response);
  acknowledgeReports(link, reports.reportId);
  if (response.promiseMs > 0) link.promisedAtMs = sentAtMs;
  options.onAnswer(link, response, sentAtMs);
}

function updateState(
  link: PeerLink,
  message: HeartbeatRequest | HeartbeatResponse,
  atMs: number,
): void {
  if (link.incarnation !== message.incarnation) {
    // A new process has not received any counts yet. The counts of its
    // predecessor are kept until its own replace them: the incarnation also
    // changes without a new process, and they are then still right.
    link.acknowledgedFreeSlots.clear();
    link.unacknowledged = { id: 0, reports: [] };
    link.receivedReportId = 0;
    link.promisedAtMs = undefined;
  }
  link.name = message.member;
  link.incarnation = message.incarnation;
  link.nextOffset = Number(message.nextOffset);
  link.generation = Number(message.generation);
  link.setVersion = Number(message.setVersion);
  link.logAgeMs = message.logAgeMs;
  link.busyHosts = new Set(message.busyHosts);
  link.answeredAtMs = Math.max(link.answeredAtMs ?? atMs, atMs);
}

/**
 * Reads the report of slot usage from a heartbeat or its answer.
 *
 * @example
 * ```ts
 * recordSlotUsage(handover, request.member, toSlotUsageReport(request));
 * ```
 */
export function toSlotUsageReport(
  message: HeartbeatRequest | HeartbeatResponse,
): SlotUsageReport {
  return {
    incarnation: message.incarnation,
    basis: message.slotBasis,
    nextOffset: Number(message.nextOffset),
    held: new Set(
      message.held.map(({ host, slot }): SlotKey => `${host}/${slot}`),
    ),
  };
}
