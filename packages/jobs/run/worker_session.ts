import type { Run } from "../job.ts";
import type {
  ExecutorClient,
  PollOutcome,
  RunEnd,
  RunReport,
} from "../ports.ts";
import { removeRun, type Worker } from "../worker.ts";

/** Longest wait of a look for the next end. */
const LOOK_WAIT_MS = 1_000;

/** Pause after a look without an answer. */
const RETRY_MS = 300;

/** Pause between looks while ends wait to be stored. */
const UNCONFIRMED_PAUSE_MS = 250;

/** Rate by which the clock of an executor may be slow. */
const CLOCK_SLACK = 0.03;

/** Time that a call may take on the way. */
const TRANSIT_MS = 100;

/** Events of a session, in which its owner decides. */
export type SessionEvents = {
  /** A run ended, or went missing, in the way that `how` says. */
  onEnd(run: Run, end: { result: RunEnd["result"]; checkpoint: string }): void;
  /** The executor lists an end of a run that is not in the book. */
  onUnknownEnd(worker: Worker, end: RunEnd): void;
  /** The executor runs what is not in the book; true if it was adopted. */
  onUnknownRun(worker: Worker, report: RunReport): boolean;
  /** Calls back once all ends that were handled are safely stored. */
  whenStored(callback: () => void): void;
  onChange(worker: Worker): void;
  onFenced(): void;
};

/** Options of {@linkcode createWorkerSession}. */
export type WorkerSessionOptions = {
  worker: Worker;
  executors: ExecutorClient;
  token: number;
  /** Length of a lease in milliseconds. */
  leaseMs: number;
  /** Whether the ownership is sure enough to renew leases. */
  mayRenew(): boolean;
  events: SessionEvents;
};

/** Conversation of an owner with one life of an executor. */
export type WorkerSession = {
  worker: Worker;
  /** Sends the order to start a run that has been added to the book. */
  start(run: Run, order: { spec: string; ticket: string }): Promise<string>;
  /** Stops a run and repeats the order until it is confirmed. */
  stop(run: Run, reason: string): void;
  /** Changes the pace of a run. */
  pace(run: Run, percent: number): void;
  /** Looks at once. */
  look(): void;
  /** Notes that the executor has surely ended. */
  end(): void;
  /**
   * Removes the runs of a silent executor whose lease had ended at a time up
   * to which nobody else can have renewed it.
   */
  expire(confirmedMs: number): void;
  close(): void;
};

/**
 * Creates the conversation with an executor: renews its lease while something
 * runs there, reads what ended and confirms it once it is stored. Nothing is
 * counted as ended before the executor says so or its lease has surely lapsed.
 *
 * @example
 * ```ts
 * const session = createWorkerSession({ worker, executors, ...options });
 * await session.start(run, { spec, ticket: "" });
 * ```
 */
export function createWorkerSession(
  options: WorkerSessionOptions,
): WorkerSession {
  const { worker, executors, token, events } = options;
  /** Looks that had been sent when a start or a stop was confirmed. */
  const settledAt = new Map<Run, number>();
  /** Looks that had been sent when a start was left without an answer. */
  const uncertainSince = new Map<Run, number>();
  let looksSent = 0;
  let isClosed = false;
  let wake: (() => void) | undefined;
  let isLookWanted = true;
  let isWaitingLook = false;
  let isExtraLook = false;
  let unconfirmedFrom = 0;

  const forget = (run: Run) => {
    settledAt.delete(run);
    uncertainSince.delete(run);
  };

  const markFailed = (reason: string) => {
    worker.failedCalls++;
    worker.lastFailure = reason;
    events.onChange(worker);
  };

  const markGone = () => {
    if (worker.isRemoved) return;
    worker.isRemoved = true;
    // Another life answers at the address, so this one runs nothing.
    worker.leaseEndsMs = 0;
    events.onChange(worker);
  };

  /** Returns the end of a new lease and notes when it surely lapses. */
  const extendLease = (): number => {
    const nowMs = performance.now();
    const untilMs = nowMs + worker.clockOffsetMs! + options.leaseMs;
    const ageMs = nowMs - worker.answeredAtMs;
    const endsMs = nowMs + options.leaseMs +
      CLOCK_SLACK * (options.leaseMs + ageMs) + TRANSIT_MS;
    worker.leaseEndsMs = Math.max(worker.leaseEndsMs, endsMs);
    return Math.floor(untilMs);
  };

  const noteAnswer = (clockMs: number) => {
    const nowMs = performance.now();
    worker.answeredAtMs = nowMs;
    worker.clockOffsetMs = clockMs - nowMs;
    worker.failedCalls = 0;
  };

  const handleEnds = (ended: readonly RunEnd[]) => {
    let isNew = false;
    for (const end of ended) {
      if (end.sequence <= worker.receivedSequence) continue;
      worker.receivedSequence = end.sequence;
      isNew = true;
      const run = findRun(worker, end.task, end.run);
      if (run === undefined) {
        events.onUnknownEnd(worker, end);
        continue;
      }
      removeRun(run);
      forget(run);
      events.onEnd(run, { result: end.result, checkpoint: end.checkpoint });
    }
    if (!isNew) return;
    const upTo = worker.receivedSequence;
    unconfirmedFrom = performance.now();
    events.whenStored(() => {
      worker.acknowledgedSequence = Math.max(worker.acknowledgedSequence, upTo);
      requestLook();
    });
  };

  const handleRunning = (running: readonly RunReport[]) => {
    for (const report of running) {
      const run = findRun(worker, report.task, report.run);
      if (run === undefined) {
        if (events.onUnknownRun(worker, report)) {
          const adopted = findRun(worker, report.task, report.run);
          if (adopted !== undefined) settledAt.set(adopted, looksSent);
          continue;
        }
        void executors.stop(target(worker), {
          task: report.task,
          run: report.run,
          fencingToken: token,
        });
        continue;
      }
      if (run.state === "starting" || run.state === "uncertain") {
        run.state = "running";
        settledAt.set(run, looksSent);
        uncertainSince.delete(run);
      }
      run.reportedAtMs = performance.now();
      if (report.progressPercent > run.progressPercent) {
        run.progressedAtMs = run.reportedAtMs;
      }
      run.progressPercent = report.progressPercent;
      run.load = report.load;
      if (report.checkpoint !== "") run.checkpoint = report.checkpoint;
    }
  };

  /** Handles runs that a look should have shown and did not. */
  const handleMissing = (
    outcome: PollOutcome & { type: "polled" },
    number: number,
  ) => {
    if (outcome.ended.length >= 500) return;
    const listed = new Set(
      outcome.running.map(({ task, run }) => `${task}/${run}`),
    );
    for (const run of [...worker.runs]) {
      const isListed = listed.has(`${run.task.name}/${run.number}`);
      const looksBefore = uncertainSince.get(run);
      if (looksBefore !== undefined && looksBefore < number && !isListed) {
        // The start may still arrive; a stop makes the executor refuse it.
        session.stop(run, "no answer to the start");
      }
      const settled = settledAt.get(run);
      if (settled === undefined || settled >= number) continue;
      if (isListed) continue;
      removeRun(run);
      forget(run);
      events.onEnd(run, {
        result: run.state === "stopping" ? "stopped" : "lapsed",
        checkpoint: run.checkpoint,
      });
    }
  };

  const look = async (longestWaitMs: number): Promise<void> => {
    const number = ++looksSent;
    const mayRenew = options.mayRenew() && worker.failedCalls === 0 &&
      worker.clockOffsetMs !== undefined && worker.runs.size > 0;
    const isConfirmed = worker.receivedSequence === worker.acknowledgedSequence;
    const outcome = await executors.poll(target(worker), {
      ...(mayRenew ? { leaseExpiryMs: extendLease() } : {}),
      fencingToken: token,
      acknowledgedSequence: worker.acknowledgedSequence,
      waitMs: worker.failedCalls === 0 && isConfirmed ? longestWaitMs : 0,
    });
    if (isClosed) return;
    if (outcome.type === "fenced") return events.onFenced();
    if (outcome.type === "replaced") return markGone();
    if (outcome.type === "unknown") {
      markFailed(outcome.reason);
      await pause(RETRY_MS);
      return;
    }
    if (
      outcome.startedAtMs !== undefined &&
      outcome.startedAtMs !== worker.report.startedAtMs
    ) {
      return markGone();
    }
    noteAnswer(outcome.clockMs);
    handleEnds(outcome.ended);
    handleRunning(outcome.running);
    handleMissing(outcome, number);
    events.onChange(worker);
  };

  const loop = async (): Promise<void> => {
    while (!isClosed && !worker.isRemoved) {
      const isIdle = worker.runs.size === 0 && worker.failedCalls === 0 &&
        worker.receivedSequence === worker.acknowledgedSequence;
      if (isIdle && !isLookWanted) {
        await pause(undefined);
        continue;
      }
      if (
        worker.receivedSequence !== worker.acknowledgedSequence && !isLookWanted
      ) {
        // The next look tells the same ends until they are confirmed.
        const waitedMs = performance.now() - unconfirmedFrom;
        await pause(Math.max(UNCONFIRMED_PAUSE_MS - waitedMs, 50));
      }
      if (isClosed) return;
      const longestWaitMs = isLookWanted ? 0 : LOOK_WAIT_MS;
      isLookWanted = false;
      isWaitingLook = true;
      await look(longestWaitMs);
      isWaitingLook = false;
    }
  };

  const pause = (ms: number | undefined): Promise<void> =>
    new Promise((resolve) => {
      const timer = ms === undefined ? undefined : setTimeout(resolve, ms);
      wake = () => {
        clearTimeout(timer);
        resolve();
      };
    });

  /** Looks at once, also beside a look that waits for the next end. */
  const requestLook = () => {
    if (isClosed || worker.isRemoved) return;
    if (isWaitingLook && !isExtraLook) {
      isExtraLook = true;
      void look(0).finally(() => isExtraLook = false);
      return;
    }
    isLookWanted = true;
    wake?.();
  };

  const session: WorkerSession = {
    worker,
    async start(run, { spec, ticket }) {
      const outcome = await executors.start(target(worker), {
        task: run.task.name,
        run: run.number,
        spec,
        leaseExpiryMs: extendLease(),
        fencingToken: token,
        checkpoint: run.checkpoint,
        ticket,
      });
      if (isClosed) return "closed";
      if (!worker.runs.has(run)) return "ended";
      if (outcome.type === "started") {
        noteAnswer(outcome.clockMs);
        if (run.state === "starting" || run.state === "uncertain") {
          run.state = "running";
        }
        settledAt.set(run, looksSent);
        wake?.();
        return "started";
      }
      if (outcome.type === "notSent") {
        markFailed(outcome.reason);
        removeRun(run);
        requestLook();
        return `not sent: ${outcome.reason}`;
      }
      if (outcome.type === "unknown") {
        if (run.state === "starting") run.state = "uncertain";
        uncertainSince.set(run, looksSent);
        markFailed(outcome.reason);
        requestLook();
        return `unknown: ${outcome.reason}`;
      }
      if (outcome.type === "replaced") {
        markGone();
        return "replaced";
      }
      if (outcome.clockMs !== undefined) noteAnswer(outcome.clockMs);
      removeRun(run);
      if (outcome.reason === "fence") events.onFenced();
      return outcome.reason;
    },
    stop(run, reason) {
      if (run.stopReason !== "") return;
      run.stopReason = reason;
      void repeatStop(run);
    },
    pace(run, percent) {
      run.ratePercent = percent;
      void executors.throttle(target(worker), {
        task: run.task.name,
        run: run.number,
        fencingToken: token,
        ratePercent: percent,
      }).then((outcome) => {
        if (outcome.type === "unknown") run.ratePercent = -1;
      });
    },
    look: requestLook,
    end: markGone,
    expire(confirmedMs) {
      if (confirmedMs < worker.leaseEndsMs) return;
      if (!worker.isRemoved && worker.failedCalls === 0) return;
      for (const run of [...worker.runs]) {
        removeRun(run);
        forget(run);
        events.onEnd(run, { result: "lapsed", checkpoint: run.checkpoint });
      }
    },
    close() {
      isClosed = true;
      wake?.();
    },
  };

  const repeatStop = async (run: Run): Promise<void> => {
    while (!isClosed && worker.runs.has(run) && !worker.isRemoved) {
      const outcome = await executors.stop(target(worker), {
        task: run.task.name,
        run: run.number,
        fencingToken: token,
      });
      if (isClosed) return;
      if (outcome.type === "done") {
        if (run.state !== "stopping") {
          run.state = "stopping";
          settledAt.set(run, looksSent);
        }
        requestLook();
        return;
      }
      if (outcome.type === "fenced") return events.onFenced();
      if (outcome.type === "replaced") return markGone();
      await new Promise((resolve) => setTimeout(resolve, RETRY_MS));
    }
  };

  void loop();
  return session;
}

function target(worker: Worker) {
  return { id: worker.id, address: worker.address };
}

function findRun(
  worker: Worker,
  task: string,
  number: number,
): Run | undefined {
  for (const run of worker.runs) {
    if (run.task.name === task && run.number === number) return run;
  }
  return undefined;
}
