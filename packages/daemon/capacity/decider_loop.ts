/**
 * Loop of the decider, which plans waves and moves for its data centre.
 *
 * @module
 */

import {
  DECIDER_LEASE_MS,
  type DeciderTerm,
  getActiveTerm,
  LEASE_MARGIN_MS,
  planDeciderClaim,
  planMoves,
  type PlannedRecord,
  planObservations,
  planWave,
} from "@lagoonloom/decisions";
import type { PlatformClient } from "@lagoonloom/platform";
import type { ControlRecord } from "@lagoonloom/records";
import type { EventLog } from "@lagoonloom/telemetry";
import type { FoldedOutcome } from "../append_and_fold.ts";
import type { ControlFold } from "../control_fold.ts";
import type { HostProbes } from "./host_probes.ts";
import type { WorkObserver } from "./work_observer.ts";
import type { PoolDemand } from "./pool_demand.ts";

/** Delay between two rounds of decisions in milliseconds. */
const ROUND_INTERVAL_MS = 500;

/** Options of {@linkcode createDeciderLoop}. */
export type DeciderLoopOptions = {
  name: string;
  dataCentre: string;
  incarnation: () => string;
  /** Whether the log was read recently enough to decide on the folded state. */
  logIsFresh: () => boolean;
  fold: ControlFold;
  append: (id: string, body: ControlRecord) => Promise<FoldedOutcome>;
  platform: Pick<PlatformClient, "rebootHost">;
  probes: HostProbes;
  work: WorkObserver;
  demand: PoolDemand;
  logNowMs: () => number;
  events: EventLog;
};

/** Loop in which one daemon of each data centre, the decider, plans changes. */
export type DeciderLoop = {
  /** Returns the term in which this daemon is the decider, if it is now. */
  term(): DeciderTerm | undefined;
  tick(nowMs: number): void;
};

/**
 * Creates the loop that campaigns to be the decider of its data centre and,
 * while it holds the lease, plans observations, waves and moves. Each record
 * carries the epoch of its term, so the fold refuses records of a former
 * decider. The restart of a host can't be fenced like this; a decider therefore
 * stops before its lease ends, counted on the monotonic clock from the time at
 * which it sent the record of the lease.
 *
 * @example
 * ```ts
 * const loop = createDeciderLoop(options);
 * loop.tick(performance.now());
 * ```
 */
export function createDeciderLoop(options: DeciderLoopOptions): DeciderLoop {
  const { fold, events } = options;
  let dueAtMs = 0;
  let leaseSentAtMs = -Infinity;
  let wasDecider = false;
  const identity = () => ({
    scope: options.dataCentre,
    holder: options.name,
    incarnation: options.incarnation(),
    nowMs: options.logNowMs(),
  });

  function term(): DeciderTerm | undefined {
    const ageMs = performance.now() - leaseSentAtMs;
    if (ageMs >= DECIDER_LEASE_MS - LEASE_MARGIN_MS) return undefined;
    if (!options.logIsFresh()) return undefined;
    return getActiveTerm(fold.state(), identity());
  }

  async function claimRole(): Promise<void> {
    const record = planDeciderClaim(fold.state(), identity());
    if (record === undefined) return;
    const sentAtMs = performance.now();
    const result = await options.append(record.id, record.body);
    if (isApplied(result)) leaseSentAtMs = sentAtMs;
  }

  async function appendAll(records: readonly PlannedRecord[]): Promise<void> {
    await Promise.all(records.map(async ({ id, body }) => {
      const result = await options.append(id, body);
      events.log("decisionAppended", {
        record: body.type,
        subject: subjectOf(body),
        outcome: describeResult(result),
      });
    }));
  }

  async function decide(): Promise<void> {
    const current = term();
    if ((current !== undefined) !== wasDecider) {
      wasDecider = current !== undefined;
      events.log(wasDecider ? "deciderBegan" : "deciderEnded", {
        scope: options.dataCentre,
      });
    }
    if (current === undefined) return;
    const state = fold.state();
    const nowMs = options.logNowMs();
    const observations = options.work.observe(state, performance.now());
    options.demand.observe(state, nowMs);
    const observedHealth = options.probes.observedHealth();
    const observed = planObservations(state, observedHealth, {
      term: current,
      nowMs,
    });
    // Yields between two plans, so that requests wait for at most one of them.
    // Records folded in between may make a planned record stale; the fold then
    // refuses it.
    await yieldToEventLoop();
    const wave = planWave(state, observations, { term: current, nowMs });
    await yieldToEventLoop();
    const moves = planMoves(state, observations, {
      term: current,
      nowMs,
      demand: options.demand.hostsByPool(),
      shortages: options.demand.shortages(),
      surpluses: options.demand.surpluses(),
    });
    if (term()?.epoch !== current.epoch) return;
    await appendAll([...observed, ...wave.records, ...moves.records]);
    await rebootAll([...wave.reboots, ...moves.reboots]);
  }

  async function rebootAll(hosts: readonly string[]): Promise<void> {
    await Promise.all(hosts.map(async (host) => {
      const permit = fold.state().hosts.get(host)?.permit;
      if (permit === undefined || term() === undefined) return;
      // The platform restarts a host only once for each id. The generation
      // can't be part of the id: it changes when the host is observed as down.
      const id = `${host}.${permit.grantedAtMs}`;
      const { type } = await options.platform.rebootHost(host, id);
      events.log("hostRestartAsked", { host, outcome: type });
    }));
  }

  async function runRound(): Promise<void> {
    if (!options.logIsFresh()) return;
    await claimRole();
    await decide();
  }

  return {
    term,
    tick(nowMs) {
      options.probes.tick(fold.state(), nowMs);
      if (nowMs < dueAtMs) return;
      dueAtMs = Infinity;
      runRound().catch((error: unknown) => {
        const task = "decider";
        events.log("unexpectedFailure", { task, error: String(error) });
      }).finally(() => dueAtMs = performance.now() + ROUND_INTERVAL_MS);
    },
  };
}

function yieldToEventLoop(): Promise<void> {
  return new Promise((resolve) => setImmediate(resolve));
}

function isApplied(result: FoldedOutcome): boolean {
  return result.type === "folded" && result.outcome.type === "applied";
}

function describeResult(result: FoldedOutcome): string {
  if (result.type !== "folded") return `${result.type}: ${result.reason}`;
  const { outcome } = result;
  return outcome.type === "refused"
    ? `refused: ${outcome.reason}`
    : outcome.type;
}

function subjectOf(body: ControlRecord): string {
  if ("host" in body) return body.host;
  return "wave" in body && body.wave !== undefined ? body.wave : "";
}
