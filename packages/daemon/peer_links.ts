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
export const NEAR_HEARTBEAT_MS = 500;

/** Interval of heartbeats within a region in milliseconds. */
export const FAR_HEARTBEAT_MS = 1_000;

/** Longest time of a heartbeat in milliseconds, less than half the fence. */
const HEARTBEAT_TIMEOUT_MS = 800;

/**
 * Intervals for which a received heartbeat replaces the own one to its sender.
 * After one and a half, the sender's next heartbeat is overdue, and this side
 * starts its own.
 */
const SUPPRESSION_INTERVALS = 1.5;

/** Time in milliseconds after which a silent peer counts as unreachable. */
const UNREACHABLE_AFTER_MS = 3_000;

/** Other entry host to which heartbeats are sent. */
export type PeerTarget = {
  address: string;
  /** Whether it is in the own data centre; seeds of unknown place are. */
  isNear: boolean;
};

/** Connection to another entry host and what is known of it. */
export type PeerLink = PeerTarget & {
  client: PeerClient;
  /** Name that it gave in its last heartbeat, empty before. */
  name: string;
  incarnation: string;
  nextOffset: number;
  generation: number;
  setVersion: number;
  /** Age of its contact with the log when it answered. */
  logAgeMs: number;
  /** Monotonic time of its last heartbeat, or of the last one it answered. */
  answeredAtMs: number | undefined;
  promisedAtMs: number | undefined;
  refusedAtMs: number | undefined;
  /** Whether a first heartbeat was answered or failed. */
  hasFirstResult: boolean;
  /** Free and lent slots by pool that it reported. */
  freeSlots: Map<string, SlotReport>;
  /** Leaving hosts on which its requests were in progress. */
  busyHosts: ReadonlySet<string>;
  /** Free slots by pool that it has received from here. */
  acknowledgedFreeSlots: Map<string, SlotReport>;
  /** Counts of the last message to it, until it is known to have them. */
  unacknowledged: { id: number; reports: readonly SlotReport[] };
  /** Identifier of the newest counts that it sent. */
  receivedReportId: number;
  /** Monotonic time of the last heartbeat sent to it. */
  sentAtMs: number;
  /** Monotonic time until which its own heartbeats replace those to it. */
  suppressedUntilMs: number;
  isHeartbeatInFlight: boolean;
};

/** What this entry host says of itself in a heartbeat. */
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
  /** Leaving hosts on which requests of this entry host are in progress. */
  busyHosts: string[];
};

/** Options of {@linkcode createPeerLinks}. */
export type PeerLinksOptions = {
  connect: (address: string) => PeerClient;
  describeSelf: () => OwnHeartbeat;
  reportSlots: () => readonly SlotReport[];
  /**
   * Whether heartbeats to a peer are needed although it sends its own: only the
   * answers carry a promise, and only they tell the age of its log contact.
   */
  needsAnswers: (link: PeerLink) => boolean;
  /** Whether the peer is the one that starts the heartbeats of the pair. */
  isInitiatedBy: (link: PeerLink) => boolean;
  /** Called after each answered heartbeat with the time it was sent. */
  onAnswer: (
    link: PeerLink,
    response: HeartbeatResponse,
    sentAtMs: number,
  ) => void;
};

/** Changed counts of free slots in the answer to a heartbeat. */
export type ReportReply = { freeSlots: SlotReport[]; reportId: number };

/** Heartbeats to the other entry hosts. */
export type PeerLinks = {
  /** Connects to new targets and ends the connections to others. */
  setTargets(targets: readonly PeerTarget[]): void;
  /** Sends the heartbeats that are due. */
  tick(nowMs: number): void;
  all(): readonly PeerLink[];
  find(name: string): PeerLink | undefined;
  /**
   * Notes what a received heartbeat says and returns the counts of free slots
   * for its answer.
   */
  receiveHeartbeat(request: HeartbeatRequest, nowMs: number): ReportReply;
  isAnswering(link: PeerLink, nowMs: number): boolean;
  close(): void;
};

/**
 * Creates the heartbeats to the other entry hosts. Counts of free slots are
 * sent only when they changed since the last answered heartbeat, which keeps
 * the control traffic within 6 KB/s.
 *
 * @example
 * ```ts
 * const links = createPeerLinks(options);
 * links.setTargets([{ address: "10.0.0.2:7200", isNear: true }]);
 * ```
 */
export function createPeerLinks(options: PeerLinksOptions): PeerLinks {
  const links = new Map<string, PeerLink>();
  // Shared by all links, so that a link which is made again goes on from it.
  let reportId = 0;
  const nextReportId = () => ++reportId;
  return {
    setTargets(targets) {
      const wanted = new Map(targets.map((it) => [it.address, it]));
      for (const [address, link] of links) {
        const target = wanted.get(address);
        if (target !== undefined) link.isNear = target.isNear;
        else {
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
    isAnswering: (link, nowMs) =>
      link.answeredAtMs !== undefined &&
      nowMs - link.answeredAtMs < UNREACHABLE_AFTER_MS,
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
  return link.isNear ? NEAR_HEARTBEAT_MS : FAR_HEARTBEAT_MS;
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
 * Returns the counts that the peer may not have. Until they are confirmed, the
 * next message contains them again.
 */
function prepareReports(
  link: PeerLink,
  reports: readonly SlotReport[],
  reportId: number,
): ReportReply {
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
  // Its new process was heard in the meantime; this is the old one's answer.
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
    // A new process has not received any counts yet. Its own replace the old
    // ones; after a change without a new process, the old ones still hold.
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
 * Reads the statement about slots from a heartbeat or its answer.
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
