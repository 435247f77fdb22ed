import type { SlotKey, SlotReport, SlotStatement } from "@lagoonloom/decisions";
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

/** Time in milliseconds after which a silent peer counts as unreachable. */
const SILENT_MS = 3_000;

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
  /** Monotonic time at which the last answered heartbeat was sent. */
  answeredAtMs: number | undefined;
  promisedAtMs: number | undefined;
  refusedAtMs: number | undefined;
  /** Whether a first heartbeat was answered or failed. */
  wasTried: boolean;
  /** Free and lent slots by pool that it reported. */
  freeSlots: Map<string, SlotReport>;
  /** Leaving hosts on which its requests were in progress. */
  busyHosts: ReadonlySet<string>;
  /** Free slots by pool that it has received from here. */
  sentFreeSlots: Map<string, SlotReport>;
  dueAtMs: number;
  isBusy: boolean;
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
  describe: () => OwnHeartbeat;
  reportSlots: () => readonly SlotReport[];
  /** Called after each answered heartbeat with the time it was sent. */
  onAnswer: (
    link: PeerLink,
    response: HeartbeatResponse,
    sentAtMs: number,
  ) => void;
};

/** Heartbeats to the other entry hosts. */
export type PeerLinks = {
  /** Connects to new targets and ends the connections to others. */
  setTargets(targets: readonly PeerTarget[]): void;
  /** Sends the heartbeats that are due. */
  tick(nowMs: number): void;
  all(): readonly PeerLink[];
  find(name: string): PeerLink | undefined;
  /** Notes the free slots and position in a received heartbeat. */
  receive(request: HeartbeatRequest, nowMs: number): void;
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
        if (link.isBusy || nowMs < link.dueAtMs) continue;
        void sendHeartbeat(link, options);
      }
    },
    all: () => [...links.values()],
    find: (name) => [...links.values()].find((link) => link.name === name),
    receive(request) {
      const link = [...links.values()].find((it) => it.name === request.member);
      if (link === undefined) return;
      for (const { pool, free, lent } of request.freeSlots) {
        link.freeSlots.set(pool, { pool, free, lent });
      }
    },
    isAnswering: (link, nowMs) =>
      link.answeredAtMs !== undefined && nowMs - link.answeredAtMs < SILENT_MS,
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
    wasTried: false,
    freeSlots: new Map(),
    busyHosts: new Set(),
    sentFreeSlots: new Map(),
    dueAtMs: 0,
    isBusy: false,
  };
}

async function sendHeartbeat(
  link: PeerLink,
  options: PeerLinksOptions,
): Promise<void> {
  const sentAtMs = performance.now();
  const intervalMs = link.isNear ? NEAR_HEARTBEAT_MS : FAR_HEARTBEAT_MS;
  link.dueAtMs = sentAtMs + intervalMs;
  link.isBusy = true;
  const changed = options.reportSlots().filter(({ pool, free, lent }) => {
    const sent = link.sentFreeSlots.get(pool);
    return sent?.free !== free || sent.lent !== lent;
  });
  const { held, ...own } = options.describe();
  const outcome = await link.client.heartbeat({
    ...own,
    nextOffset: BigInt(own.nextOffset),
    generation: BigInt(own.generation),
    setVersion: BigInt(own.setVersion),
    freeSlots: changed,
    held: held.map(toHeldSlot),
  }, { timeoutMs: HEARTBEAT_TIMEOUT_MS });
  link.isBusy = false;
  link.wasTried = true;
  if (outcome.type === "unreachable") {
    if (outcome.isConnectionRefused) link.refusedAtMs = sentAtMs;
    return;
  }
  noteAnswer(link, outcome.response, sentAtMs);
  for (const report of changed) link.sentFreeSlots.set(report.pool, report);
  options.onAnswer(link, outcome.response, sentAtMs);
}

function noteAnswer(
  link: PeerLink,
  response: HeartbeatResponse,
  sentAtMs: number,
): void {
  if (link.incarnation !== response.incarnation) {
    // A new process has not received any counts yet.
    link.sentFreeSlots.clear();
    link.freeSlots.clear();
    link.promisedAtMs = undefined;
  }
  link.name = response.member;
  link.incarnation = response.incarnation;
  link.nextOffset = Number(response.nextOffset);
  link.generation = Number(response.generation);
  link.setVersion = Number(response.setVersion);
  link.logAgeMs = response.logAgeMs;
  link.busyHosts = new Set(response.busyHosts);
  link.answeredAtMs = sentAtMs;
  if (response.promiseMs > 0) link.promisedAtMs = sentAtMs;
}

/**
 * Converts a slot to the form of the peer calls.
 *
 * @example
 * ```ts
 * toHeldSlot("quoting-1/3"); // { host: "quoting-1", slot: 3 }
 * ```
 */
export function toHeldSlot(key: SlotKey): { host: string; slot: number } {
  const slash = key.lastIndexOf("/");
  return { host: key.slice(0, slash), slot: Number(key.slice(slash + 1)) };
}

/**
 * Reads the statement about slots from a heartbeat or its answer.
 *
 * @example
 * ```ts
 * hearSlots(handover, request.member, toStatement(request));
 * ```
 */
export function toStatement(
  message: HeartbeatRequest | HeartbeatResponse,
): SlotStatement {
  return {
    incarnation: message.incarnation,
    basis: message.slotBasis,
    nextOffset: Number(message.nextOffset),
    held: new Set(
      message.held.map(({ host, slot }): SlotKey => `${host}/${slot}`),
    ),
  };
}
