import {
  type CallerOutcome,
  type CallerRequest,
  createCallerApp,
} from "@lagoonloom/callers";
import type { RemoteSlots, Topology, Urgency } from "@lagoonloom/decisions";
import {
  createExecutorClient,
  createTransitBudget,
} from "@lagoonloom/endpoints";
import type { Service } from "@lagoonloom/objects";
import type { LogRecord } from "@lagoonloom/records";
import { createDispatcher } from "./_dispatcher.ts";
import { createFirstComeScheduler } from "./_first_come_scheduler.ts";
import { notRun, type Order, type OrderOutcome } from "./_order.ts";
import { problemOf } from "./_problem_of.ts";
import { toWireAnswer } from "./_wire.ts";
import type { RequestPathDependencies } from "./dependencies.ts";
import type { ForwardedRequest, ForwardedResult } from "./forwarded.ts";
import type { HeldOutcome } from "./held_outcome.ts";

/** Memory for answers in transit unless the settings say otherwise. */
const DEFAULT_TRANSIT_BYTES = 32 * 1_048_576;

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
  const { settings } = dependencies;
  const client = createExecutorClient({
    maxConnections: settings.maxConnections,
    budget: createTransitBudget(
      settings.maxTransitBytes ?? DEFAULT_TRANSIT_BYTES,
    ),
  });
  const schedule = dependencies.schedule ?? createFirstComeScheduler();
  const dispatcher = createDispatcher({ dependencies, client, schedule });
  let topology: Topology = { pools: [], services: [] };
  let isStopping = false;
  let lastId = 0;
  let inProgress = 0;
  const drainWaiters: (() => void)[] = [];
  const app = createCallerApp({
    callers: settings.callers,
    ...(settings.maxBodyBytes && { maxBodyBytes: settings.maxBodyBytes }),
    ...(settings.bodyTimeoutMs && { bodyTimeoutMs: settings.bodyTimeoutMs }),
    isLive: dependencies.isLive,
    isReady: () => !isStopping && dependencies.isReady(),
    isStopping: () => isStopping,
    metrics: () => dependencies.metrics.metrics(),
    handle: (request) => track(handleCaller(request)),
  });
  return {
    /** Application for callers. */
    app,
    handleForward: (request: ForwardedRequest) => track(handleForward(request)),
    awaitOutcome,
    freeSlotsByPool,
    updateTopology,
    foldClaim,
    /** Number of requests that this entry host has on executors. */
    runningSlots: () =>
      [...dispatcher.running.values()].reduce((sum, count) => sum + count, 0),
    /** Refuses new requests; those in progress go on. */
    stopAccepting() {
      isStopping = true;
    },
    drained,
    close() {
      dispatcher.close();
      client.close();
    },
  };

  async function handleCaller(request: CallerRequest): Promise<CallerOutcome> {
    const outcome = await runCaller(request);
    return outcome.type === "failed"
      ? { type: "problem", problem: problemOf(outcome) }
      : outcome;
  }

  function runCaller(
    request: CallerRequest,
  ): Promise<OrderOutcome> | OrderOutcome {
    const service = dependencies.findService(request.service);
    if (service === undefined) return notRun("unknown-service");
    if (isStopping) return notRun("stopping");
    const order = makeOrder(request, service);
    if (!order.isIdempotent) {
      if (request.idempotencyKey === undefined) return notRun("key-required");
      return notRun("log-unavailable");
    }
    request.gone.addEventListener("abort", () => dispatcher.cancel(order.id));
    return dispatcher.run(order);
  }

  function makeOrder(request: CallerRequest, service: Service): Order {
    const nowMs = dependencies.nowMs();
    lastId += 1;
    return {
      id: `${settings.member}.${settings.incarnation}.${lastId}`,
      service: request.service,
      method: request.method,
      path: request.path,
      headers: request.headers,
      body: request.body,
      urgency: request.urgency,
      arrivedAtMs: nowMs,
      deadlineAtMs: nowMs + (request.deadlineMs ?? service.deadline_ms),
      isIdempotent: request.method !== "POST" || service.idempotent_posts,
      isForwarded: false,
      caller: request.caller,
    };
  }

  async function handleForward(
    request: ForwardedRequest,
  ): Promise<ForwardedResult> {
    const outcome = isStopping
      ? notRun("stopping")
      : await dispatcher.run(fromForwarded(request, dependencies.nowMs()));
    if (outcome.type === "failed") {
      const { notRun, reason, retryAfterMs = 0 } = outcome;
      return { type: "failure", notRun, reason, retryAfterMs };
    }
    const answer = await toWireAnswer(outcome);
    if (answer !== undefined) return { type: "answer", answer };
    const reason = "answer-too-large";
    return { type: "failure", notRun: false, reason, retryAfterMs: 0 };
  }

  function awaitOutcome(_key: string, _waitMs: number): Promise<HeldOutcome> {
    return Promise.resolve({ type: "unknown" });
  }

  function freeSlotsByPool(): Map<string, number> {
    const free = new Map<string, number>();
    for (const pool of topology.pools) {
      let count = 0;
      for (const host of pool.hosts) {
        if (host.isLeaving) continue;
        const used = dispatcher.running.get(host.name) ?? 0;
        count += Math.max(0, host.slots.length - used);
      }
      free.set(pool.name, count);
    }
    return free;
  }

  function updateTopology(
    next: Topology,
    remoteSlots: readonly RemoteSlots[],
  ): void {
    topology = next;
    dispatcher.advance({ type: "topology", topology });
    dispatcher.advance({ type: "remote-slots", slots: remoteSlots });
  }

  function foldClaim(_record: LogRecord): void {
    return;
  }

  async function track<Result>(result: Promise<Result>): Promise<Result> {
    inProgress += 1;
    try {
      return await result;
    } finally {
      inProgress -= 1;
      if (inProgress === 0) {
        for (const resolve of drainWaiters.splice(0)) resolve();
      }
    }
  }

  /** Resolves when no request is in progress. */
  function drained(): Promise<void> {
    if (inProgress === 0) return Promise.resolve();
    return new Promise((resolve) => drainWaiters.push(resolve));
  }
}

function fromForwarded(request: ForwardedRequest, nowMs: number): Order {
  const headers: Record<string, string> = {};
  for (const { name, value } of request.headers) headers[name] = value;
  return {
    id: request.requestId,
    service: request.service,
    method: request.method,
    path: request.path,
    headers,
    body: request.body,
    urgency: request.urgency as Urgency,
    arrivedAtMs: nowMs,
    deadlineAtMs: nowMs + request.remainingMs,
    isIdempotent: request.idempotent,
    isForwarded: true,
    caller: "",
  };
}
