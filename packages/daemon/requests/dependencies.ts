/**
 * Settings and dependencies of the request path.
 *
 * @module
 */

import type { SchedulerAction, SchedulerEvent } from "@lagoonloom/decisions";
import type { Service } from "@lagoonloom/objects";
import type { AnswerRecord, Stream } from "@lagoonloom/records";
import type { EventLog, Metrics } from "@lagoonloom/telemetry";
import type { ForwardedRequest, ForwardedResult } from "./forwarded.ts";
import type { KnownOutcome } from "./known_outcome.ts";

/** Settings of the request path. */
export type RequestSettings = {
  /** Name of this entry host. */
  member: string;
  /** Identifies this process among successive ones of the same name. */
  incarnation: string;
  /** Teams by bearer token. */
  teamsByToken: ReadonlyMap<string, string>;
  maxBodyBytes?: number;
  bodyTimeoutMs?: number;
  /** Memory for answers in transit in bytes. */
  maxTransitBytes?: number;
  /** Connections that this entry host may open to one executor. */
  maxConnections: number;
  /**
   * Longest run of a request on an executor in milliseconds. Other entry hosts
   * rely on it when they take over the slots of a lost one.
   */
  longestRequestMs?: number;
  /** Time in milliseconds, by the log's clock, for which claims are kept. */
  claimWindowMs?: number;
  /** Most claims that are kept. */
  maxClaims?: number;
};

/** Result of an append to the log. */
export type AppendOutcome =
  | { type: "appended"; offset: number }
  /** The log refused the record. */
  | { type: "refused" }
  /** The record may be in the log, or may still reach it. */
  | { type: "unknown" };

/** What the request path needs from the daemon. */
export type RequestPathDependencies = {
  settings: RequestSettings;
  /** Whether this entry host may use its slots now. */
  hasSlotRights: () => boolean;
  /** Whether the claims read from the log are recent enough for new orders. */
  logIsFresh: () => boolean;
  setVersion: () => number;
  isLive: () => boolean;
  isReady: () => boolean;
  findService: (name: string) => Service | undefined;
  /** IP address and port of a host's executor. */
  hostAddress: (name: string) => string | undefined;
  append: (
    stream: Stream,
    id: string,
    body: unknown,
  ) => Promise<AppendOutcome>;
  readAnswer: (offset: number) => Promise<AnswerRecord | undefined>;
  forward: (
    member: string,
    request: ForwardedRequest,
  ) => Promise<ForwardedResult | { type: "not-sent" } | { type: "unknown" }>;
  awaitOutcomeAt: (
    member: string,
    key: string,
    waitMs: number,
  ) => Promise<KnownOutcome>;
  isCurrentMember: (name: string, incarnation: string) => boolean;
  /**
   * Names of the other members. Unless a claim of this entry host proves that
   * an order did not run, they are asked whether they know the order before its
   * caller is answered with "not-run".
   */
  otherMembers?: () => readonly string[];
  /** Called with each event of the scheduler and the resulting actions. */
  observeSchedule?: (
    event: SchedulerEvent,
    actions: readonly SchedulerAction[],
    nowMs: number,
  ) => void;
  /** Number of members, which share the rate of appends. */
  liveMembers: () => number;
  events: EventLog;
  metrics: Metrics;
  /** Monotonic clock in milliseconds. */
  nowMs: () => number;
};
