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
import { createIntake } from "./_intake.ts";
import { notRun, type OrderOutcome } from "./_order.ts";
import { createOrderKeeper } from "./_order_keeper.ts";
import { problemOf } from "./_problem_of.ts";
import { toWireAnswer } from "./_wire.ts";
import type { RequestPathDependencies } from "./dependencies.ts";
import type { ForwardedRequest, ForwardedResult } from "./forwarded.ts";

/** Memory for answers in transit unless the settings say otherwise. */
const DEFAULT_TRANSIT_BYTES = 32 * 1_048_576;

/** Time between two ticks of the scheduler and the claims. */
const TICK_MS = 50;

/** Path of requests through this entry host. */
export type RequestPath = ReturnType<typeof createRequestPath>;

/**
 * Creates the path of requests from callers to executors.
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
  metrics.allowTeams(settings.callers.values());
  const client = createExecutorClient({
    maxConnections: settings.maxConnections,
    budget: createMemoryBudget(
      settings.maxTransitBytes ?? DEFAULT_TRANSIT_BYTES,
    ),
  });
  const dispatcher = createDispatcher(dependencies, client);
  const keeper = createOrderKeeper(dependencies, dispatcher);
  const intake = createIntake(dependencies, { dispatcher, keeper });
  let isStopping = false;
  let inProgress = 0;
  let drainWaiters: (() => void)[] = [];
  const ticker = setInterval(tick, TICK_MS);
  ticker.unref();
  const app = createCallerApp({
    teamsByToken: settings.callers,
    ...(settings.maxBodyBytes && { maxBodyBytes: settings.maxBodyBytes }),
    ...(settings.bodyTimeoutMs && { bodyTimeoutMs: settings.bodyTimeoutMs }),
    isLive: dependencies.isLive,
    isReady: () => !isStopping && dependencies.isReady(),
    isStopping: () => isStopping,
    metrics: () => metrics.registry.metrics(),
    handle: (request) => track(handleCaller(request)),
  });
  return {
    /** Application for callers. */
    app,
    handleForward: (request: ForwardedRequest) => track(handleForward(request)),
    awaitOutcome: keeper.awaitOutcome,
    /** Slots that a forwarded request could use now, by pool. */
    freeSlotsByPool: () =>
      countLendableSlots(dispatcher.scheduler, dependencies.nowMs()),
    /** Slots that other entry hosts may forward to, by pool. */
    reportSlots: () => reportSlots(dispatcher.scheduler, dependencies.nowMs()),
    updateTopology,
    foldClaim: keeper.foldClaim,
    /** Number of requests that this entry host has on executors. */
    runningSlots: dispatcher.running,
    stopAccepting,
    drained,
    close,
  };

  function tick(): void {
    dispatcher.advance({ type: "tick" });
    keeper.tick();
    settleDrained();
  }

  async function handleCaller(request: CallerRequest): Promise<CallerOutcome> {
    const startedAtMs = dependencies.nowMs();
    const outcome = await intake.takeCaller(request, { isStopping });
    const { service, urgency, caller: team } = request;
    metrics.observeRequest({ service, urgency, team }, {
      durationMs: dependencies.nowMs() - startedAtMs,
      outcome: nameOutcome(outcome),
    });
    return outcome.type === "failed"
      ? { type: "problem", problem: problemOf(outcome) }
      : outcome;
  }

  async function handleForward(
    request: ForwardedRequest,
  ): Promise<ForwardedResult> {
    const outcome = isStopping
      ? notRun("stopping")
      : await intake.takeForwarded(request);
    if (outcome.type === "failed") {
      const { notRun, reason, retryAfterMs = 0 } = outcome;
      return { type: "failure", notRun, reason, retryAfterMs };
    }
    const answer = await toWireAnswer(outcome);
    if (answer !== undefined) return { type: "answer", answer };
    const reason = "answer-too-large";
    return { type: "failure", notRun: false, reason, retryAfterMs: 0 };
  }

  /** Takes the slots of this entry host and what others reported as free. */
  function updateTopology(
    topology: Topology,
    remoteSlots: readonly RemoteSlots[],
  ): void {
    metrics.allowServices(topology.services.map(({ name }) => name));
    dispatcher.advance({ type: "topology", topology });
    dispatcher.advance({ type: "remote-slots", slots: remoteSlots });
  }

  async function track<Result>(result: Promise<Result>): Promise<Result> {
    inProgress += 1;
    try {
      return await result;
    } finally {
      inProgress -= 1;
      settleDrained();
    }
  }

  /** Refuses new requests; those in progress go on. */
  function stopAccepting(): void {
    isStopping = true;
  }

  /**
   * Resolves when no request is in progress and each claim has its end on the
   * log. The daemon bounds the wait, since the log may be down.
   */
  function drained(): Promise<void> {
    return new Promise((resolve) => {
      drainWaiters.push(resolve);
      settleDrained();
    });
  }

  function settleDrained(): void {
    if (drainWaiters.length === 0) return;
    if (inProgress > 0 || dispatcher.running() > 0 || !keeper.isIdle()) return;
    for (const resolve of drainWaiters) resolve();
    drainWaiters = [];
  }

  /** Stops the timers and destroys the connections to executors. */
  function close(): void {
    clearInterval(ticker);
    keeper.close();
    client.close();
  }
}

function nameOutcome(outcome: OrderOutcome): string {
  if (outcome.type === "failed") return outcome.notRun ? "not-run" : "unknown";
  return outcome.status >= 500 ? "failed" : "succeeded";
}
