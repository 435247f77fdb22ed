/**
 * Dispatch of requests to executors and other entry hosts, with retries.
 *
 * @module
 */

import {
  addRetryTokens,
  advanceScheduler,
  createRetryBudget,
  createScheduler,
  decideRetry,
  type SchedulerAction,
  type SchedulerEvent,
  takeRetryToken,
} from "@lagoonloom/decisions";
import type { ExchangeResult, ExecutorClient } from "@lagoonloom/endpoints";
import { forwardRequest } from "./_forward_request.ts";
import {
  notRunOutcome,
  type RequestOutcome,
  type RoutedRequest,
  unknownOutcome,
} from "./_routed_request.ts";
import type { RequestPathDependencies } from "./dependencies.ts";

/** Longest run of a request, unless the settings state another limit. */
const DEFAULT_LONGEST_REQUEST_MS = 10_000;

/**
 * A run that misses its deadline counts as a failure of the host if it took
 * more than this many times the upper estimate of its run time.
 */
const SLOW_RUN_FACTOR = 2;

/** Failures that the executor may have caused. */
const EXECUTOR_FAILURES = new Set([
  "connect",
  "deadline",
  "broken",
  "wrong-answer",
  "unframed-answer",
  "refused",
]);

/** Request that is queued or in flight. */
type PendingRequest = {
  request: RoutedRequest;
  /**
   * Id of the current attempt in the scheduler. Each attempt has its own id,
   * since an earlier one may still hold a slot.
   */
  attemptId: string;
  excludedHosts: string[];
  attempts: number;
  /** Whether an earlier attempt ended with an unknown outcome. */
  mayHaveRun: boolean;
  isQueued: boolean;
  resolve: (outcome: RequestOutcome) => void;
};

/** Sends requests to executors and other entry hosts. */
export type Dispatcher = ReturnType<typeof createDispatcher>;

/**
 * Creates the dispatcher. It passes events to the scheduler, carries out the
 * resulting actions and retries requests whose attempts failed.
 */
export function createDispatcher(
  dependencies: RequestPathDependencies,
  client: ExecutorClient,
) {
  const scheduler = createScheduler({
    topology: { pools: [], services: [] },
  });
  const requestsById = new Map<string, PendingRequest>();
  const requestsByAttempt = new Map<string, PendingRequest>();
  let running = 0;
  let budget = createRetryBudget();
  return {
    advance,
    run,
    cancel,
    scheduler,
    /** Returns the number of requests on executors. */
    running: () => running,
  };

  function advance(event: SchedulerEvent): void {
    const nowMs = dependencies.nowMs();
    const actions = advanceScheduler(scheduler, event, nowMs);
    dependencies.observeSchedule?.(event, actions, nowMs);
    for (const action of actions) perform(action);
  }

  function run(request: RoutedRequest): Promise<RequestOutcome> {
    if (requestsById.has(request.id)) {
      return Promise.resolve(unknownOutcome("duplicate-id"));
    }
    budget = addRetryTokens(budget);
    return new Promise((resolve) => {
      const pending: PendingRequest = {
        request,
        attemptId: request.id,
        excludedHosts: [],
        attempts: 0,
        mayHaveRun: false,
        isQueued: true,
        resolve,
      };
      requestsById.set(request.id, pending);
      enqueue(pending);
    });
  }

  /** Cancels a request whose caller disconnected, if it is still queued. */
  function cancel(id: string): void {
    const pending = requestsById.get(id);
    if (!pending?.isQueued) return;
    settle(pending, notRunOutcome("cancelled"));
    advance({ type: "cancelled", id: pending.attemptId });
  }

  function enqueue(pending: PendingRequest): void {
    const { request } = pending;
    pending.isQueued = true;
    requestsByAttempt.delete(pending.attemptId);
    if (pending.attempts > 0) {
      pending.attemptId = `${request.id}~${pending.attempts}`;
    }
    requestsByAttempt.set(pending.attemptId, pending);
    advance({
      type: "arrived",
      request: {
        id: pending.attemptId,
        service: request.service,
        urgency: request.urgency,
        arrivedAtMs: request.arrivedAtMs,
        deadlineAtMs: request.deadlineAtMs,
        isForwarded: request.isForwarded,
        excludedHosts: pending.excludedHosts,
      },
    });
  }

  function settle(pending: PendingRequest, outcome: RequestOutcome): void {
    requestsById.delete(pending.request.id);
    requestsByAttempt.delete(pending.attemptId);
    const isFalselyNotRun = outcome.type === "failed" && outcome.notRun &&
      pending.mayHaveRun;
    pending.resolve(isFalselyNotRun ? unknownOutcome(outcome.reason) : outcome);
  }

  function perform(action: SchedulerAction): void {
    const pending = requestsByAttempt.get(action.id);
    if (pending === undefined) {
      releaseAssignment(action);
    } else if (action.type === "start") {
      void sendToExecutor(pending, action.host, action.slot);
    } else if (action.type === "forward") {
      void forwardToPeer(pending, action.member);
    } else {
      settle(pending, notRunOutcome(action.reason, action.retryAfterMs));
    }
  }

  /** Releases the assignment of the scheduler if its request already ended. */
  function releaseAssignment(action: SchedulerAction): void {
    const { id } = action;
    if (action.type === "forward") advance({ type: "forward-ended", id });
    if (action.type !== "start") return;
    const { host, slot } = action;
    const result = "abandoned";
    advance({ type: "finished", id, host, slot, runMs: 0, result });
  }

  async function sendToExecutor(
    pending: PendingRequest,
    host: string,
    slot: number,
  ): Promise<void> {
    const { request, attemptId: id } = pending;
    pending.isQueued = false;
    const startedAtMs = dependencies.nowMs();
    pending.attempts += 1;
    running += 1;
    const result = await exchange(pending, host, startedAtMs);
    const elapsedMs = () => dependencies.nowMs() - startedAtMs;
    const finish = (runMs: number) => {
      running -= 1;
      const health = classifyResult(request, result, runMs);
      advance({ type: "finished", id, host, slot, runMs, result: health });
    };
    if (result.type === "failed") {
      logFailure(host, result);
      const runMs = elapsedMs();
      // The slot stays occupied as long as the executor may run the request.
      if (result.ended === undefined) finish(runMs);
      else void result.ended.then(() => finish(runMs));
    } else if (result.type === "streamed") {
      result.stream.once("close", () => finish(elapsedMs()));
    } else {
      finish(elapsedMs());
    }
    if (result.type !== "failed") return settle(pending, result);
    const { notRun: isNotRun, reason } = result;
    const mayRetry = reason !== "slot-rights" && reason !== "deadline";
    pending.mayHaveRun ||= !isNotRun;
    if (mayRetry && takeRetry(pending, isNotRun)) {
      if (reason !== "stale-connection") pending.excludedHosts.push(host);
      return enqueue(pending);
    }
    settle(pending, isNotRun ? notRunOutcome(reason) : unknownOutcome(reason));
  }

  function exchange(
    pending: PendingRequest,
    host: string,
    nowMs: number,
  ): Promise<ExchangeResult> {
    const { request } = pending;
    const address = dependencies.hostAddress(host);
    const remainingMs = Math.min(
      request.deadlineAtMs - nowMs,
      dependencies.settings.longestRequestMs ?? DEFAULT_LONGEST_REQUEST_MS,
    );
    if (address === undefined || remainingMs <= 0) {
      const reason = address === undefined ? "connect" : "deadline";
      return Promise.resolve({ type: "failed", reason, notRun: true });
    }
    return client.exchange({
      id: request.id,
      address,
      method: request.method,
      path: request.path,
      headers: request.headers,
      body: request.body,
      remainingMs,
      // A retry uses a new connection: another idle one may be closing too.
      mayReuseConnection: request.isIdempotent && pending.attempts === 1,
      maySend: dependencies.hasSlotRights,
    });
  }

  async function forwardToPeer(
    pending: PendingRequest,
    member: string,
  ): Promise<void> {
    const { request, attemptId: id } = pending;
    pending.isQueued = false;
    pending.attempts += 1;
    const outcome = await forwardRequest(request, member, { dependencies });
    if (outcome.type === "failed" && outcome.notRun) {
      // On "returned" the scheduler either queues the request or refuses it.
      pending.isQueued = true;
      return advance({ type: "returned", id, member });
    }
    advance({ type: "forward-ended", id });
    pending.mayHaveRun ||= outcome.type === "failed";
    const mayRetry = outcome.type === "failed" && outcome.reason !== "deadline";
    if (mayRetry && takeRetry(pending, false)) return enqueue(pending);
    settle(pending, outcome);
  }

  /**
   * Spends a retry from the budget if the request may run again before its
   * deadline; returns whether it did.
   */
  function takeRetry(pending: PendingRequest, isNotRun: boolean): boolean {
    const { request } = pending;
    const service = dependencies.findService(request.service);
    const decision = decideRetry({
      sent: isNotRun ? "nothing" : "maybe",
      isIdempotent: request.isIdempotent,
      budget,
      attempts: pending.attempts,
      nowMs: dependencies.nowMs(),
      deadlineAtMs: request.deadlineAtMs,
      expectedRunMs: service?.run_time_ms ?? 0,
    });
    if (decision.retry) budget = takeRetryToken(budget);
    return decision.retry;
  }

  function logFailure(
    host: string,
    result: { reason: string; notRun: boolean },
  ): void {
    const { reason, notRun } = result;
    dependencies.events.log("exchangeFailed", { host, reason, notRun });
    if (reason === "wrong-answer") {
      dependencies.events.log("wrongAnswer", { host });
    }
  }

  /** Classifies a result for the scheduler's record of the host's health. */
  function classifyResult(
    request: RoutedRequest,
    result: ExchangeResult,
    runMs: number,
  ): "succeeded" | "failed" | "abandoned" {
    if (result.type !== "failed") {
      return result.status >= 500 ? "failed" : "succeeded";
    }
    if (!EXECUTOR_FAILURES.has(result.reason)) return "abandoned";
    if (result.reason !== "deadline") return "failed";
    // A missed deadline alone does not count against the host: the declared
    // run time of the service may be too short.
    const service = scheduler.services.get(request.service);
    const { upperBoundMs = 0 } = service?.queues[request.urgency].runTime ?? {};
    const slowMs = SLOW_RUN_FACTOR * upperBoundMs;
    return runMs > slowMs ? "failed" : "abandoned";
  }
}
