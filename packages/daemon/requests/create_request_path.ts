/**
 * Request path: admits, deduplicates, schedules and forwards requests.
 *
 * @module
 */

import {
  type CallerOutcome,
  type CallerRequest,
  createCallerApp,
} from "@lagoonloom/callers";
import {
  countLendableSlots,
  type RemoteSlots,
  reportSlots,
  type Topology,
} from "@lagoonloom/decisions";
import {
  createExecutorClient,
  createMemoryBudget,
} from "@lagoonloom/endpoints";
import { createDispatcher } from "./_dispatcher.ts";
import { createAdmission } from "./_admission.ts";
import { notRunOutcome, type RequestOutcome } from "./_routed_request.ts";
import { createOrderDeduplicator } from "./_order_deduplicator.ts";
import { toProblemDetails } from "./_problem_details.ts";
import { toWireAnswer } from "./_wire.ts";
import type { RequestPathDependencies } from "./dependencies.ts";
import type { ForwardedRequest, ForwardedResult } from "./forwarded.ts";

/** Memory for answers in transit, unless the settings state another limit. */
const DEFAULT_TRANSIT_BYTES = 32 * 1_048_576;

/** Interval at which the scheduler and the claims check their deadlines. */
const TICK_MS = 50;

/** Path that a request takes from its caller to an executor and back. */
export type RequestPath = ReturnType<typeof createRequestPath>;

/**
 * Creates the path that requests take through this entry host: it admits them,
 * runs each order at most once and has the scheduler send each request to an
 * executor or forward it to another entry host.
 *
 * @example
 * ```ts
 * import type { RequestPathDependencies } from "./dependencies.ts";
 *
 * function mount(dependencies: RequestPathDependencies) {
 *   return createRequestPath(dependencies).app.callback();
 * }
 * ```
 */
export function createRequestPath(dependencies: RequestPathDependencies) {
  const { settings, metrics } = dependencies;
  metrics.allowTeams(settings.teamsByToken.values());
  const client = createExecutorClient({
    maxConnections: settings.maxConnections,
    budget: createMemoryBudget(
      settings.maxTransitBytes ?? DEFAULT_TRANSIT_BYTES,
    ),
  });
  const dispatcher = createDispatcher(dependencies, client);
  const deduplicator = createOrderDeduplicator(dependencies, dispatcher);
  const admission = createAdmission(dependencies, {
    dispatcher,
    deduplicator,
  });
  let isStopping = false;
  let inFlight = 0;
  let drainWaiters: (() => void)[] = [];
  const ticker = setInterval(tick, TICK_MS);
  ticker.unref();
  const app = createCallerApp({
    teamsByToken: settings.teamsByToken,
    ...(settings.maxBodyBytes && { maxBodyBytes: settings.maxBodyBytes }),
    ...(settings.bodyTimeoutMs && { bodyTimeoutMs: settings.bodyTimeoutMs }),
    isLive: dependencies.isLive,
    isReady: () => !isStopping && dependencies.isReady(),
    isStopping: () => isStopping,
    metrics: () => metrics.registry.metrics(),
    handle: (request) => track(handleCaller(request)),
  });
  return {
    /** HTTP application that callers use. */
    app,
    handleForward: (request: ForwardedRequest) => track(handleForward(request)),
    awaitOutcome: deduplicator.awaitOutcome,
    /** Returns the slots that a forwarded request could use now, by pool. */
    freeSlotsByPool: () =>
      countLendableSlots(dispatcher.scheduler, dependencies.nowMs()),
    /** Returns the slots that other entry hosts may forward to, by pool. */
    reportSlots: () => reportSlots(dispatcher.scheduler, dependencies.nowMs()),
    updateTopology,
    foldClaim: deduplicator.foldClaim,
    /** Returns the number of requests that run on executors now. */
    runningSlots: dispatcher.running,
    stopAccepting,
    drained,
    close,
  };

  function tick(): void {
    dispatcher.advance({ type: "tick" });
    deduplicator.tick();
    resolveDrainWaiters();
  }

  async function handleCaller(request: CallerRequest): Promise<CallerOutcome> {
    const startedAtMs = dependencies.nowMs();
    const outcome = await admission.admitCallerRequest(request, { isStopping });
    const { service, urgency, caller: team } = request;
    metrics.observeRequest({ service, urgency, team }, {
      durationMs: dependencies.nowMs() - startedAtMs,
      outcome: outcomeLabel(outcome),
    });
    return outcome.type === "failed"
      ? { type: "problem", problem: toProblemDetails(outcome) }
      : outcome;
  }

  async function handleForward(
    request: ForwardedRequest,
  ): Promise<ForwardedResult> {
    const outcome = isStopping
      ? notRunOutcome("stopping")
      : await admission.admitForwardedRequest(request);
    if (outcome.type === "failed") {
      const { notRun, reason, retryAfterMs = 0 } = outcome;
      return { type: "failure", notRun, reason, retryAfterMs };
    }
    const answer = await toWireAnswer(outcome);
    if (answer !== undefined) return { type: "answer", answer };
    const reason = "answer-too-large";
    return { type: "failure", notRun: false, reason, retryAfterMs: 0 };
  }

  /**
   * Hands the scheduler the slots of this entry host and the free slots that
   * other entry hosts reported.
   */
  function updateTopology(
    topology: Topology,
    remoteSlots: readonly RemoteSlots[],
  ): void {
    metrics.allowServices(topology.services.map(({ name }) => name));
    dispatcher.advance({ type: "topology", topology });
    dispatcher.advance({ type: "remote-slots", slots: remoteSlots });
  }

  async function track<Result>(result: Promise<Result>): Promise<Result> {
    inFlight += 1;
    try {
      return await result;
    } finally {
      inFlight -= 1;
      resolveDrainWaiters();
    }
  }

  /** Refuses new requests from now on; requests in flight continue. */
  function stopAccepting(): void {
    isStopping = true;
  }

  /**
   * Resolves when no request is in flight and the log holds the end of each
   * claim of this entry host. It may never resolve while the log is down, so
   * callers need a timeout.
   */
  function drained(): Promise<void> {
    return new Promise((resolve) => {
      drainWaiters.push(resolve);
      resolveDrainWaiters();
    });
  }

  function resolveDrainWaiters(): void {
    if (drainWaiters.length === 0) return;
    if (inFlight > 0 || dispatcher.running() > 0 || !deduplicator.isIdle()) {
      return;
    }
    for (const resolve of drainWaiters) resolve();
    drainWaiters = [];
  }

  /** Stops the timers and closes the connections to executors. */
  function close(): void {
    clearInterval(ticker);
    deduplicator.close();
    client.close();
  }
}

function outcomeLabel(outcome: RequestOutcome): string {
  if (outcome.type === "failed") {
    return outcome.notRun ? "not-run" : "unknown";
  }
  return outcome.status >= 500 ? "failed" : "succeeded";
}
