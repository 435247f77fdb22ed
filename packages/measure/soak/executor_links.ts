/**
 * Client of the executors of a soak test, over links with faults.
 *
 * @module
 */

import type { ExecutorClient } from "@lagoonloom/jobs";
import type { MemoryExecutor, MemoryExecutors } from "@lagoonloom/standins";
import type { Random } from "../random.ts";
import type {
  CallFate,
  CallKind,
  ExecutorHost,
  ExecutorHosts,
} from "./executor_hosts.ts";

/** Time without an answer after which a call ends, beyond its wait. */
const CALL_TIMEOUT_MS = 700;

/** Longest time that a request or an answer takes on a sound link. */
const MAX_SOUND_DELAY_MS = 12;

/** Start of a run that took effect. */
export type StartCall = {
  run: number;
  /** Time since its request was sent. */
  sinceSentMs: number;
};

/** Stop of a run that took effect. */
export type StopCall = {
  run: number;
  /** Time since its request was sent. */
  sinceSentMs: number;
  /** Monotonic time at which the link of its sender was last harmed. */
  lastHarmMs: number;
};

/** Calls that took effect at an executor. */
export type CallObserver = {
  onStarted(host: ExecutorHost, task: string, start: StartCall): void;
  onStopped(
    host: ExecutorHost,
    task: string,
    stop: StopCall,
  ): void;
  onAcknowledged(host: ExecutorHost, sequence: number): void;
  /** Notes a call that prolonged a lease, which is named for a reader. */
  onLeased(host: ExecutorHost, call: string): void;
};

/** Options of {@linkcode createExecutorLinks}. */
export type ExecutorLinksOptions = {
  hosts: ExecutorHosts;
  executors: MemoryExecutors;
  random: Random;
  observer: CallObserver;
  /** Whether the caller reaches an executor. */
  isReached(id: string): boolean;
  /** Longest time after its timeout at which a late request takes effect. */
  maxLatenessMs: number;
  /** Whether late requests take effect though their executor is cut off. */
  keepsLateCalls: boolean;
};

type Unknown = { type: "unknown"; reason: string };

type Call<Outcome> = {
  kind: CallKind;
  timeoutMs: number;
  /** Outcome if no process listens. */
  refused: Outcome | Unknown;
  deliver(host: ExecutorHost): Promise<Outcome | Unknown>;
};

/** Creates a client whose calls meet the faults of the executors' links. */
export function createExecutorLinks(
  options: ExecutorLinksOptions,
): ExecutorClient {
  const { hosts, executors, random, observer } = options;

  /** Monotonic times at which calls last met harm, by executor. */
  const harmedAtMs = new Map<string, number>();

  const drawFate = (
    host: ExecutorHost,
    kind: CallKind,
  ): { fate: CallFate; maxDelayMs: number } => {
    let maxDelayMs = MAX_SOUND_DELAY_MS;
    for (const fault of host.faults) {
      if (fault.kind !== undefined && fault.kind !== kind) continue;
      maxDelayMs = Math.max(maxDelayMs, fault.maxDelayMs);
      if (random() >= fault.probability) continue;
      if (--fault.remainingCalls <= 0) host.faults.delete(fault);
      if (fault.fate !== "answered") return { fate: fault.fate, maxDelayMs };
    }
    return { fate: "answered", maxDelayMs };
  };

  const send = <Outcome extends { type: string }>(
    id: string,
    call: Call<Outcome>,
  ): Promise<Outcome | Unknown | { type: "replaced" }> =>
    new Promise((resolve) => {
      const timer = setTimeout(() => {
        harmedAtMs.set(id, performance.now());
        resolve({ type: "unknown", reason: "timeout" });
      }, call.timeoutMs);
      const answer = (outcome: Outcome | Unknown | { type: "replaced" }) => {
        if (!options.isReached(id)) return;
        clearTimeout(timer);
        resolve(outcome);
      };
      const host = hosts.get(id);
      if (host === undefined || !options.isReached(id)) return;
      const { fate, maxDelayMs } = drawFate(host, call.kind);
      if (fate === "requestLost") return;
      const isKept = fate === "late" && options.keepsLateCalls;
      if (isKept && host.isSilent) return;
      const delayMs = fate === "late"
        ? call.timeoutMs + random() * options.maxLatenessMs
        : random() * maxDelayMs;
      const arrive = async () => {
        if (host.isSilent && !isKept) return;
        if (host.isReplaced) return answer({ type: "replaced" });
        if (!host.isUp) return answer(call.refused);
        const { process } = host;
        const outcome = await call.deliver(host);
        if (fate !== "answered") return;
        setTimeout(() => {
          if (host.isSilent) return;
          const isReset = !host.isUp || host.process !== process;
          answer(
            isReset ? { type: "unknown", reason: "connection reset" } : outcome,
          );
        }, random() * maxDelayMs);
      };
      setTimeout(() => void arrive(), delayMs);
    });

  /** Tells the observer of a lease that a call prolonged. */
  const observeLease = <Outcome>(
    host: ExecutorHost,
    call: {
      /** Name of the call for a reader. */
      name: string;
      sentAtMs: number;
      /** Process that was to carry it out. */
      target: MemoryExecutor | undefined;
      carryOut(): Promise<Outcome>;
    },
  ): Promise<Outcome> => {
    const { process } = host;
    const { leaseExpiryMs } = process;
    const outcome = call.carryOut();
    if (process.leaseExpiryMs === leaseExpiryMs) return outcome;
    const ageMs = Math.round(performance.now() - call.sentAtMs);
    const target = call.target === process ? "it" : "an earlier process";
    observer.onLeased(host, `${call.name}, sent to ${target} ${ageMs} ms ago`);
    return outcome;
  };

  return {
    start(target, request) {
      const sentAtMs = performance.now();
      const intended = hosts.get(target.id)?.process;
      return send(target.id, {
        kind: "start",
        timeoutMs: CALL_TIMEOUT_MS,
        refused: { type: "notSent", reason: "connection refused" },
        async deliver(host) {
          const known = host.process.starts.length;
          const outcome = await observeLease(host, {
            name: `start of ${request.task} by owner ${request.token}`,
            sentAtMs,
            target: intended,
            carryOut: () => executors.start(target, request),
          });
          if (host.process.starts.length > known) {
            const { task, run } = request;
            const sinceSentMs = performance.now() - sentAtMs;
            observer.onStarted(host, task, { run, sinceSentMs });
          }
          return outcome;
        },
      });
    },
    stop(target, request) {
      const sentAtMs = performance.now();
      return send(target.id, {
        kind: "stop",
        timeoutMs: CALL_TIMEOUT_MS,
        refused: { type: "unknown", reason: "connection refused" },
        async deliver(host) {
          const { task, run } = request;
          const wasRunning = host.process.running.get(task)?.run === run;
          const outcome = await executors.stop(target, request);
          if (wasRunning && !host.process.running.has(task)) {
            const sinceSentMs = performance.now() - sentAtMs;
            const lastHarmMs = harmedAtMs.get(host.id) ?? -Infinity;
            observer.onStopped(host, task, { run, sinceSentMs, lastHarmMs });
          }
          return outcome;
        },
      });
    },
    throttle: () => Promise.resolve({ type: "done" }),
    poll(target, request) {
      const sentAtMs = performance.now();
      const intended = hosts.get(target.id)?.process;
      return send(target.id, {
        kind: request.waitMs > 0 ? "longPoll" : "shortPoll",
        timeoutMs: CALL_TIMEOUT_MS + request.waitMs,
        refused: { type: "unknown", reason: "connection refused" },
        deliver(host) {
          if (request.token >= host.process.token) {
            observer.onAcknowledged(host, request.acknowledgedSequence);
          }
          return observeLease(host, {
            name: `poll by owner ${request.token}`,
            sentAtMs,
            target: intended,
            carryOut: () => executors.poll(target, request),
          });
        },
      });
    },
  };
}
