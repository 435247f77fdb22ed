import { ageOf } from "../_clock_reading.ts";
import type { Run } from "../job.ts";
import type { PollOutcome, RunEnd, RunReport } from "../ports.ts";
import {
  findRun,
  isListed,
  isUnanswered,
  markListed,
  recordReport,
  removeRun,
  setUntrackedRuns,
} from "../executor_state.ts";
import type { Size } from "../submission.ts";
import {
  extendLease,
  isOfLaterProcess,
  recordAnswer,
  recordForeignLease,
  recordRestart,
} from "./_executor_clock.ts";
import { createAcknowledgement } from "./_acknowledgement.ts";
import { createPollLoop } from "./_poll_loop.ts";
import { callGranting } from "./late_grants.ts";
import { stopUntilAnswered } from "./_stop_until_answered.ts";
import type {
  Adoption,
  ExecutorSession,
  ExecutorSessionOptions,
} from "./session_types.ts";

/** Longest time for which a poll waits at the executor for the next end. */
const POLL_WAIT_MS = 1_000;

/** The same while an answer of its next process would show a late start. */
const LATE_START_POLL_WAIT_MS = 300;

/** Time after an answer in which an executor hardly restarts unnoticed. */
const HEARD_MS = 250;

/** Number of ends from which the answer to a poll may be truncated. */
const MAX_REPORTED_ENDS = 500;

/**
 * Creates a session with an executor: polls it while it runs tasks or may carry
 * out a start late, renews its lease while it runs tasks, and acknowledges ends
 * of runs once their results are stored. A run counts as ended only when the
 * executor reports so, when it no longer lists the run, or when its lease has
 * certainly expired.
 *
 * @example
 * ```ts
 * const session = createExecutorSession(options);
 * await session.start(run, { spec, ticket: "" });
 * ```
 */
export function createExecutorSession(
  options: ExecutorSessionOptions,
): ExecutorSession {
  const { executor, executorClient, token, callbacks } = options;
  const target = { id: executor.id, address: executor.address };
  /** Number of polls sent before a start or stop was confirmed, by run. */
  const confirmedAtPoll = new Map<Run, number>();
  /** Number of polls sent before a start request went unanswered, by run. */
  const unansweredAtPoll = new Map<Run, number>();
  /** Controllers that take back the starts that are not sent yet, by run. */
  const withdrawals = new Map<Run, AbortController>();
  const acknowledgement = createAcknowledgement(executor);
  let pollsSent = 0;
  /** Clock of the executor in the newest list of its runs. */
  let listClockMs = -Infinity;
  let isClosed = false;

  const endRun = (run: Run, end: Pick<RunEnd, "result" | "checkpoint">) => {
    removeRun(run);
    confirmedAtPoll.delete(run);
    unansweredAtPoll.delete(run);
    callbacks.onRunEnd(run, end);
  };

  const recordFailure = (reason: string) => {
    acknowledgement.recordFailure();
    executor.failedCalls++;
    executor.lastFailure = reason;
    callbacks.onChange(executor);
  };

  const markRemoved = () => {
    if (executor.isRemoved) return;
    executor.isRemoved = true;
    callbacks.onChange(executor);
  };

  /** The executor has ended, so its lease protects no run. */
  const markEnded = () => {
    executor.leaseEndsMs = 0;
    markRemoved();
  };

  /** Another executor answers in the place of this one. */
  const markReplaced = () => {
    executor.hasCrashed = true;
    markEnded();
  };

  /** A later process of the executor answers. */
  const markRestarted = () => {
    if (!executor.hasRestarted) callbacks.onRestart(executor);
    recordRestart(executor, options.longestLeaseMs);
    markRemoved();
  };

  const handleEnds = (ended: readonly RunEnd[], clockMs: number) => {
    let isNew = false;
    for (const end of ended) {
      if (end.sequence <= executor.receivedSequence) continue;
      executor.receivedSequence = end.sequence;
      isNew = true;
      const run = findRun(executor, end);
      if (run === undefined) {
        callbacks.onUnknownEnd(executor, end);
        continue;
      }
      markListed(run, clockMs);
      const { result, checkpoint } = end;
      endRun(run, { result, checkpoint });
    }
    if (isNew) acknowledgement.awaitStored(callbacks.whenStored, requestPoll);
  };

  /** Adopts a run that this owner did not track, or stops it. */
  const handleUnknownRun = (report: RunReport, clockMs: number): Adoption => {
    const adoption = callbacks.onUnknownRun(executor, report);
    const run = findRun(executor, report);
    if (run !== undefined) {
      confirmedAtPoll.set(run, pollsSent);
      markListed(run, clockMs);
    }
    if (adoption.isAdopted) return adoption;
    const { task, run: number } = report;
    void executorClient.stop(target, { task, run: number, token });
    return adoption;
  };

  const handleRunning = (running: readonly RunReport[], clockMs: number) => {
    const untracked = new Map<string, Size | undefined>();
    for (const report of running) {
      const run = findRun(executor, report);
      if (run === undefined) {
        const adoption = handleUnknownRun(report, clockMs);
        if (adoption.isAdopted) continue;
        untracked.set(`${report.task}/${report.run}`, adoption.size);
        continue;
      }
      if (isUnanswered(run)) {
        run.state = "running";
        confirmedAtPoll.set(run, pollsSent);
        unansweredAtPoll.delete(run);
      }
      markListed(run, clockMs);
      recordReport(run, report);
    }
    setUntrackedRuns(executor, untracked);
  };

  /**
   * Ends tracked runs that the executor no longer lists. Only a poll that was
   * sent after the start or stop was confirmed can show this.
   */
  const handleMissing = (
    outcome: PollOutcome & { type: "polled" },
    pollNumber: number,
  ) => {
    if (executor.hasMoreEnds) return;
    const listed = new Set(
      outcome.running.map(({ task, run }) => `${task}/${run}`),
    );
    for (const run of [...executor.runs]) {
      const isPresent = listed.has(`${run.task.name}/${run.number}`);
      const unansweredAt = unansweredAtPoll.get(run);
      const mayStart = unansweredAt !== undefined && unansweredAt < pollNumber;
      if (mayStart && !isPresent) {
        // The start may still arrive; a stop makes the executor refuse it.
        session.stop(run, "the start request timed out");
      }
      const confirmedAt = confirmedAtPoll.get(run);
      if (confirmedAt === undefined || confirmedAt >= pollNumber) continue;
      if (isPresent) continue;
      const result = run.state === "stopping" ? "stopped" : "lapsed";
      endRun(run, { result, checkpoint: run.checkpoint });
    }
  };

  const pollOnce = async (
    maxWaitMs: number,
    { isCheck = false } = {},
  ): Promise<void> => {
    const pollNumber = ++pollsSent;
    // A check may find a new process, whose lease it must not prolong.
    const mayRenew = !isCheck && options.mayRenew() &&
      executor.failedCalls === 0 && executor.clockOffsetMs !== undefined &&
      executor.runs.size > 0;
    const mayWait = executor.failedCalls === 0 &&
      acknowledgement.areEndsStored();
    const request = {
      token,
      acknowledgedSequence: acknowledgement.sequence(),
      waitMs: mayWait ? maxWaitMs : 0,
    };
    const outcome = mayRenew
      ? await callGranting(executor, () => {
        const leaseExpiryMs = extendLease(executor, options.leaseMs);
        return executorClient.poll(target, { ...request, leaseExpiryMs });
      })
      : await executorClient.poll(target, request);
    if (isClosed) return;
    if (outcome.type === "fenced") return callbacks.onFenced();
    if (outcome.type === "replaced") return markReplaced();
    if (outcome.type === "unknown") {
      recordFailure(outcome.reason);
      // An idle loop would not poll a silent executor.
      polls.wake();
      return;
    }
    if (
      outcome.startedAtMs !== undefined &&
      outcome.startedAtMs !== executor.report.startedAtMs
    ) {
      return markRestarted();
    }
    if (executor.clockOffsetMs === undefined) {
      recordForeignLease(executor, options.foreignLeaseEndsMs());
    }
    recordAnswer(executor, outcome.clockMs);
    executor.hasMoreEnds = outcome.ended.length >= MAX_REPORTED_ENDS;
    handleEnds(outcome.ended, outcome.clockMs);
    // Answers may overtake each other; an older list shows ended runs.
    if (outcome.clockMs >= listClockMs) {
      listClockMs = outcome.clockMs;
      acknowledgement.recordList(outcome.ended);
      handleRunning(outcome.running, outcome.clockMs);
    }
    handleMissing(outcome, pollNumber);
    callbacks.onChange(executor);
  };

  const polls = createPollLoop({
    pollOnce,
    isOver: () => isClosed || executor.isRemoved,
    isIdle: () =>
      executor.runs.size === 0 && executor.untrackedRuns.size === 0 &&
      executor.failedCalls === 0 && acknowledgement.areEndsStored() &&
      !acknowledgement.isDue() && !options.hasLateStarts(),
    // A poll would report the same ends until they are acknowledged.
    pauseMs: () =>
      acknowledgement.areEndsStored() ? 0 : acknowledgement.pauseMs(),
    longestWaitMs: () =>
      options.hasLateStarts() ? LATE_START_POLL_WAIT_MS : POLL_WAIT_MS,
    hasFailed: () => executor.failedCalls > 0,
  });
  const requestPoll = () => polls.request();
  /** Check that has no answer yet, which all starts at the executor share. */
  let openCheck: Promise<void> | undefined;

  const session: ExecutorSession = {
    executor,
    isHeard() {
      // While a poll is open, the end of the process ends its connection.
      const longestMs = polls.isOpen() ? POLL_WAIT_MS + HEARD_MS : HEARD_MS;
      const { heardAt } = executor;
      return heardAt !== undefined && ageOf(heardAt) < longestMs;
    },
    async check() {
      openCheck ??= pollOnce(0, { isCheck: true })
        .finally(() => openCheck = undefined);
      await openCheck;
      return !isClosed && !executor.isRemoved && executor.failedCalls === 0;
    },
    async start(run, { spec, ticket }) {
      const knownClockMs = executor.newestClockMs;
      const controller = new AbortController();
      withdrawals.set(run, controller);
      const outcome = await callGranting(
        executor,
        () =>
          executorClient.start(target, {
            task: run.task.name,
            run: run.number,
            spec,
            leaseExpiryMs: extendLease(executor, options.leaseMs),
            token,
            checkpoint: run.checkpoint,
            ticket,
          }, controller),
      );
      withdrawals.delete(run);
      if (isClosed) return "closed";
      if (!executor.runs.has(run)) return "ended";
      if ("clockMs" in outcome && outcome.clockMs !== undefined) {
        if (isOfLaterProcess(outcome.clockMs, knownClockMs)) markRestarted();
        else recordAnswer(executor, outcome.clockMs);
      }
      if (outcome.type === "started") {
        if (isUnanswered(run)) run.state = "running";
        if (!executor.hasRestarted) run.confirmedClockMs = outcome.clockMs;
        confirmedAtPoll.set(run, pollsSent);
        polls.wake();
        return "started";
      }
      if (outcome.type === "notSent") {
        removeRun(run);
        if (controller.signal.aborted) return "withdrawn";
        recordFailure(outcome.reason);
        requestPoll();
        return `not sent: ${outcome.reason}`;
      }
      if (outcome.type === "unknown") {
        if (run.state === "starting") run.state = "uncertain";
        unansweredAtPoll.set(run, pollsSent);
        recordFailure(outcome.reason);
        requestPoll();
        return `unknown: ${outcome.reason}`;
      }
      if (outcome.type === "replaced") {
        removeRun(run);
        markReplaced();
        return "replaced";
      }
      removeRun(run);
      if (outcome.reason === "fence") callbacks.onFenced();
      return outcome.reason;
    },
    stop(run, reason) {
      if (run.stopReason !== "") return;
      run.stopReason = reason;
      withdrawals.get(run)?.abort();
      void repeatStop(run);
    },
    throttle(run, percent) {
      run.ratePercent = percent;
      void executorClient.throttle(target, {
        task: run.task.name,
        run: run.number,
        token,
        ratePercent: percent,
      }).then((outcome) => {
        if (outcome.type === "unknown") run.ratePercent = -1;
      });
    },
    poll: requestPoll,
    markEnded,
    expireRuns(undisputedMs) {
      if (!executor.isRemoved && executor.failedCalls === 0) return;
      const hasExpired = undisputedMs >= executor.leaseEndsMs;
      const lost = [...executor.runs].filter((run) =>
        hasExpired || (executor.hasRestarted && isListed(run))
      );
      if (lost.length > 0) callbacks.onLoss(executor, lost);
      for (const run of lost) {
        endRun(run, { result: "lapsed", checkpoint: run.checkpoint });
      }
    },
    close() {
      isClosed = true;
      polls.wake();
    },
  };

  const repeatStop = async (run: Run): Promise<void> => {
    const { task: { name }, number } = run;
    const request = { task: name, run: number, token };
    const outcome = await stopUntilAnswered(executorClient, request, {
      target,
      isWanted: () =>
        !isClosed && executor.runs.has(run) && !executor.isRemoved,
      onFailure: acknowledgement.recordFailure,
    });
    if (isClosed || outcome === undefined) return;
    if (outcome.type === "fenced") return callbacks.onFenced();
    if (outcome.type === "replaced") return markReplaced();
    if (run.state !== "stopping") {
      run.state = "stopping";
      confirmedAtPoll.set(run, pollsSent);
    }
    requestPoll();
  };

  /** Follows the runs that an earlier session with the executor started. */
  const takeOverRuns = () => {
    for (const run of executor.runs) {
      if (isUnanswered(run)) {
        run.state = "uncertain";
        unansweredAtPoll.set(run, pollsSent);
      } else confirmedAtPoll.set(run, pollsSent);
      if (run.stopReason !== "" && run.state !== "stopping") {
        void repeatStop(run);
      }
    }
  };

  takeOverRuns();
  polls.start();
  return session;
}
