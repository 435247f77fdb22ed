import type { SchedulerAction, SchedulerEvent } from "@lagoonloom/decisions";
import type { Service } from "@lagoonloom/objects";
import type { AnswerRecord, Stream } from "@lagoonloom/records";
import type { EventLog, Metrics } from "@lagoonloom/telemetry";
import type { ForwardedRequest, ForwardedResult } from "./forwarded.ts";
import type { HeldOutcome } from "./held_outcome.ts";

/** Settings of the request path. */
export type RequestSettings = {
  /** Name of this entry host. */
  member: string;
  /** Distinguishes this process from earlier ones of the same name. */
  incarnation: string;
  /** Teams by bearer token. */
  callers: ReadonlyMap<string, string>;
  maxBodyBytes?: number;
  bodyTimeoutMs?: number;
  /** Memory for answers in transit in bytes. */
  maxTransitBytes?: number;
  /** Connections that this entry host may open to one executor. */
  maxConnections: number;
  /**
   * Longest exchange with an executor in milliseconds, after which the slot of
   * a lost entry host is used by another one.
   */
  longestRequestMs?: number;
  /** Log time for which claims are remembered in milliseconds. */
  claimWindowMs?: number;
  /** Most claims that are remembered. */
  maxClaims?: number;
};

/** Result of an append to the log. */
export type AppendOutcome =
  | { type: "appended"; offset: number }
  /** The log did not take the record and never will. */
  | { type: "refused" }
  /** The record may be in the log, or may appear in it later. */
  | { type: "unknown" };

/** What the request path needs from the daemon. */
export type RequestPathDependencies = {
  settings: RequestSettings;
  /** Whether this entry host may use its slots at this moment. */
  hasSlotRights: () => boolean;
  /** Whether the folded claims are recent enough to accept new orders. */
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
  ) => Promise<HeldOutcome>;
  isCurrentMember: (name: string, incarnation: string) => boolean;
  /**
   * Other entry hosts that take part. They are asked whether they know an
   * order before its caller is told that it was not run on other grounds than
   * a claim of this entry host.
   */
  otherMembers?: () => readonly string[];
  /** Called with each event of the scheduler and what it led to. */
  observeSchedule?: (
    event: SchedulerEvent,
    actions: readonly SchedulerAction[],
    nowMs: number,
  ) => void;
  /** Number of entry hosts that take part, which share the rate of appends. */
  liveMembers: () => number;
  events: EventLog;
  metrics: Metrics;
  /** Monotonic clock in milliseconds. */
  nowMs: () => number;
};
