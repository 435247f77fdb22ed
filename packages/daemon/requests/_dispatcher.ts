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
import { forwardOrder } from "./_forward_order.ts";
import {
  notRun,
  type Order,
  type OrderOutcome,
  unknownOutcome,
} from "./_order.ts";
import type { RequestPathDependencies } from "./dependencies.ts";

/** Longest exchange unless the settings say otherwise. */
const DEFAULT_LONGEST_REQUEST_MS = 10_000;

/** A run this many times longer than expected counts against its host. */
const SLOW_RUN_FACTOR = 2;

/** Failures that say something about the executor. */
const TELLING_FAILURES = new Set([
  "connect",
  "deadline",
  "broken",
  "wrong-answer",
  "unframed-answer",
  "refused",
]);

/** Scheduled order that has no outcome yet. */
type Job = {
  order: Order;
  /**
   * Name of the present attempt in the scheduler. An earlier attempt may still
   * hold its slot there, so that each one has another name.
   */
  attemptId: string;
  excludedHosts: string[];
  attempts: number;
  /** Whether an earlier attempt ended with an unknown outcome. */
  mayHaveRun: boolean;
  isQueued: boolean;
  resolve: (outcome: OrderOutcome) => void;
};

/** Carries out the scheduler's actions. */
export type Dispatcher = ReturnType<typeof createDispatcher>;

/** Creates the part that queues, sends, forwards and retries requests. */
export function createDispatcher(
  dependencies: RequestPathDependencies,
  client: ExecutorClient,
) {
  const scheduler = createScheduler({
    topology: { pools: [], services: [] },
  });
  const jobs = new Map<string, Job>();
  const jobsByAttempt = new Map<string, Job>();
  let running = 0;
  let budget = createRetryBudget();
  return {
    advance,
    run,
    cancel,
    scheduler,
    /** Number of requests on executors. */
    running: () => running,
  };

  function advance(event: SchedulerEvent): void {
    const nowMs = dependencies.nowMs();
    const actions = advanceScheduler(scheduler, event, nowMs);
    dependencies.observeSchedule?.(event, actions, nowMs);
    for (const action of actions) perform(action);
  }

  function run(order: Order): Promise<OrderOutcome> {
    if (jobs.has(order.id)) {
      return Promise.resolve(unknownOutcome("duplicate-id"));
    }
    budget = addRetryTokens(budget);
    return new Promise((resolve) => {
      const job: Job = {
        order,
        attemptId: order.id,
        excludedHosts: [],
        attempts: 0,
        mayHaveRun: false,
        isQueued: true,
        resolve,
      };
      jobs.set(order.id, job);
      arrive(job);
    });
  }

  /** Ends a request whose caller has gone, if it was not started. */
  function cancel(id: string): void {
    const job = jobs.get(id);
    if (!job?.isQueued) return;
    settle(job, notRun("cancelled"));
    advance({ type: "cancelled", id: job.attemptId });
  }

  function arrive(job: Job): void {
    const { order } = job;
    job.isQueued = true;
    jobsByAttempt.delete(job.attemptId);
    if (job.attempts > 0) job.attemptId = `${order.id}~${job.attempts}`;
    jobsByAttempt.set(job.attemptId, job);
    advance({
      type: "arrived",
      request: {
        id: job.attemptId,
        service: order.service,
        urgency: order.urgency,
        arrivedAtMs: order.arrivedAtMs,
        deadlineAtMs: order.deadlineAtMs,
        isForwarded: order.isForwarded,
        excludedHosts: job.excludedHosts,
      },
    });
  }

  function settle(job: Job, outcome: OrderOutcome): void {
    jobs.delete(job.order.id);
    jobsByAttempt.delete(job.attemptId);
    const isFalse = outcome.type === "failed" && outcome.notRun &&
      job.mayHaveRun;
    job.resolve(isFalse ? unknownOutcome(outcome.reason) : outcome);
  }

  function perform(action: SchedulerAction): void {
    const job = jobsByAttempt.get(action.id);
    if (job === undefined) {
      ignore(action);
    } else if (action.type === "start") {
      void start(job, action.host, action.slot);
    } else if (action.type === "forward") {
      void forward(job, action.member);
    } else {
      settle(job, notRun(action.reason, action.retryAfterMs));
    }
  }

  /** Gives back what the scheduler assigned to a request that has ended. */
  function ignore(action: SchedulerAction): void {
    const { id } = action;
    if (action.type === "forward") advance({ type: "forward-ended", id });
    if (action.type !== "start") return;
    const { host, slot } = action;
    const result = "abandoned";
    advance({ type: "finished", id, host, slot, runMs: 0, result });
  }

  async function start(
    job: Job,
    host: string,
    slot: number,
  ): Promise<void> {
    const { order, attemptId: id } = job;
    job.isQueued = false;
    const startedAtMs = dependencies.nowMs();
    job.attempts += 1;
    running += 1;
    const result = await exchange(job, host, startedAtMs);
    const elapsedMs = () => dependencies.nowMs() - startedAtMs;
    const finish = (runMs: number) => {
      running -= 1;
      const verdict = judge(order, result, runMs);
      advance({ type: "finished", id, host, slot, runMs, result: verdict });
    };
    if (result.type === "failed") {
      reportFailure(host, result);
      const runMs = elapsedMs();
      // The slot is in use for as long as the executor may run the request.
      if (result.ended === undefined) finish(runMs);
      else void result.ended.then(() => finish(runMs));
    } else if (result.type === "streamed") {
      result.stream.once("close", () => finish(elapsedMs()));
    } else {
      finish(elapsedMs());
    }
    if (result.type !== "failed") return settle(job, result);
    const { notRun: isNotRun, reason } = result;
    const mayRetry = reason !== "slot-rights" && reason !== "deadline";
    job.mayHaveRun ||= !isNotRun;
    if (mayRetry && retry(job, isNotRun)) {
      if (reason !== "stale-connection") job.excludedHosts.push(host);
      return arrive(job);
    }
    settle(job, isNotRun ? notRun(reason) : unknownOutcome(reason));
  }

  function exchange(
    job: Job,
    host: string,
    nowMs: number,
  ): Promise<ExchangeResult> {
    const { order } = job;
    const address = dependencies.hostAddress(host);
    const remainingMs = Math.min(
      order.deadlineAtMs - nowMs,
      dependencies.settings.longestRequestMs ?? DEFAULT_LONGEST_REQUEST_MS,
    );
    if (address === undefined || remainingMs <= 0) {
      const reason = address === undefined ? "connect" : "deadline";
      return Promise.resolve({ type: "failed", reason, notRun: true });
    }
    return client.exchange({
      id: order.id,
      address,
      method: order.method,
      path: order.path,
      headers: order.headers,
      body: order.body,
      remainingMs,
      // A retry must not meet a second connection that is closing.
      mayReuseConnection: order.isIdempotent && job.attempts === 1,
      maySend: dependencies.hasSlotRights,
    });
  }

  async function forward(job: Job, member: string): Promise<void> {
    const { order, attemptId: id } = job;
    job.isQueued = false;
    job.attempts += 1;
    const outcome = await forwardOrder(order, member, { dependencies });
    if (outcome.type === "failed" && outcome.notRun) {
      // The scheduler queues it again or refuses it.
      job.isQueued = true;
      return advance({ type: "returned", id, member });
    }
    advance({ type: "forward-ended", id });
    job.mayHaveRun ||= outcome.type === "failed";
    const mayRetry = outcome.type === "failed" && outcome.reason !== "deadline";
    if (mayRetry && retry(job, false)) return arrive(job);
    settle(job, outcome);
  }

  /** Takes a retry if the request may run again and its deadline allows it. */
  function retry(job: Job, isNotRun: boolean): boolean {
    const { order } = job;
    const service = dependencies.findService(order.service);
    const decision = decideRetry({
      sent: isNotRun ? "nothing" : "maybe",
      isIdempotent: order.isIdempotent,
      budget,
      attempts: job.attempts,
      nowMs: dependencies.nowMs(),
      deadlineAtMs: order.deadlineAtMs,
      expectedRunMs: service?.run_time_ms ?? 0,
    });
    if (decision.retry) budget = takeRetryToken(budget);
    return decision.retry;
  }

  function reportFailure(
    host: string,
    result: { reason: string; notRun: boolean },
  ): void {
    const { reason, notRun } = result;
    dependencies.events.log("exchangeFailed", { host, reason, notRun });
    if (reason === "wrong-answer") {
      dependencies.events.log("wrongAnswer", { host });
    }
  }

  function judge(
    order: Order,
    result: ExchangeResult,
    runMs: number,
  ): "succeeded" | "failed" | "abandoned" {
    if (result.type !== "failed") {
      return result.status >= 500 ? "failed" : "succeeded";
    }
    if (!TELLING_FAILURES.has(result.reason)) return "abandoned";
    if (result.reason !== "deadline") return "failed";
    // Declared run times may be far off, which says nothing about the host.
    const service = scheduler.services.get(order.service);
    const { upperBoundMs: highMs = 0 } =
      service?.queues[order.urgency].runTime ?? {};
    const slowMs = SLOW_RUN_FACTOR * highMs;
    return runMs > slowMs ? "failed" : "abandoned";
  }
}
