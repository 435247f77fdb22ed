import type { SchedulerAction, SchedulerEvent } from "@lagoonloom/decisions";
import type { Service } from "@lagoonloom/objects";
import type { AnswerRecord, Stream } from "@lagoonloom/records";
import type { Registry } from "prom-client";
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
  /** Time for which claims are remembered in milliseconds of the log. */
  claimWindowMs?: number;
};

/** Result of an append to the log. */
export type AppendOutcome =
  | { type: "appended"; offset: number }
  /** The log did not take the record and never will. */
  | { type: "refused" }
  /** The record may be in the log, or may appear in it later. */
  | { type: "unknown" };

/** Level of a log event. */
export type EventLevel = "info" | "warn" | "error";

/** Numbered log event of the request path. */
export type RequestEvent = {
  number: number;
  level: EventLevel;
  message: string;
  fields: Record<string, string | number | boolean>;
};

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
  /** Entry hosts that take part, which share the rate of appends. */
  liveMembers: () => number;
  /** Scheduler of this entry host; a first-come one if absent. */
  schedule?: (
    event: SchedulerEvent,
    nowMs: number,
  ) => readonly SchedulerAction[];
  events: (event: RequestEvent) => void;
  metrics: Registry;
  /** Monotonic clock in milliseconds. */
  nowMs: () => number;
};
