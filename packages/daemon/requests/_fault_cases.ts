/**
 * Cases that run a request while a fault occurs and check that the caller gets
 * a correct outcome.
 *
 * @module
 */

import type { Attempt } from "./_fault_caller.ts";
import {
  answerBody,
  EXCHANGE_STEPS,
  type ExchangeStep,
  type ExecutorFault,
} from "./_fault_executor.ts";
import {
  createFaultFixture,
  type FaultFixtureOptions,
} from "./_fault_fixture.ts";

type Fixture = Awaited<ReturnType<typeof createFaultFixture>>;

/** Body that spans several TCP segments. */
const BODY = "b".repeat(200_000);

/** Time in which delayed claims reach the entry hosts. */
const SETTLE_MS = 400;

/**
 * Event that occurs during a request, such as the loss of an entry host or a
 * repeat by the caller. Returns the attempts that it adds.
 */
type ConcurrentEvent = (
  fixture: Fixture,
  options: { key: string; callerAbort: AbortController; executor?: string },
) => Promise<Attempt>[];

export const CONCURRENT_EVENTS: Record<string, ConcurrentEvent> = {
  nothing: () => [],
  "executor down": (fixture) => {
    fixture.executors[0]!.kill();
    return [];
  },
  "other executor down": (fixture, { executor }) => {
    // The scheduler picks the executor by run times, so it isn't known before.
    fixture.executors.find(({ address }) => address !== executor)!.kill();
    return [];
  },
  "caller disconnects": (_, { callerAbort }) => {
    callerAbort.abort();
    return [];
  },
  "caller repeats here": (fixture, { key }) => [
    fixture.call("entry-a", { key, body: BODY }),
  ],
  "caller repeats elsewhere": (fixture, { key }) => [
    fixture.call("entry-b", { key, body: BODY }),
  ],
  "entry host lost": (fixture) => {
    fixture.crash("entry-a");
    return [];
  },
  "entry host replaced, caller repeats there": (fixture, { key }) => {
    fixture.crash("entry-a");
    const repeat = fixture.start("entry-a", 2)
      .then(() => fixture.call("entry-a", { key, body: BODY }));
    return [repeat];
  },
  "other entry host lost": (fixture) => {
    fixture.crash("entry-b");
    return [];
  },
  "log down": (fixture) => {
    fixture.store.faults.isDown = true;
    return [];
  },
  "log down, caller repeats elsewhere": (fixture, { key }) => {
    fixture.store.faults.isDown = true;
    return [fixture.call("entry-b", { key, body: BODY })];
  },
  "append answers lost": (fixture) => {
    fixture.store.faults.lostAnswers = 3;
    return [];
  },
  "duplicate records": (fixture) => {
    fixture.store.faults.duplicates = 3;
    return [];
  },
  "log slower than the deadline": (fixture) => {
    fixture.store.faults.delayMs = 350;
    return [];
  },
  "second entry host cut off, caller repeats there": (fixture, { key }) => {
    fixture.hosts.get("entry-b")!.isCutOff = true;
    return [fixture.call("entry-b", { key, body: BODY })];
  },
  "set changed": (fixture) => {
    fixture.markExecutorLeaving();
    return [];
  },
};

export const FAULTS: ExecutorFault[] = [
  "killed",
  "frozen",
  "slow",
  "reset",
  "extra-answer",
  "previous-answer",
];

/** Fault, or concurrent event, at a step of an exchange. */
export type FaultCase = {
  step: ExchangeStep;
  fault?: ExecutorFault | undefined;
  concurrentEvent?: string;
  /** Whether the request is an order, otherwise an idempotent quote. */
  isOrder?: boolean;
  isForwarding?: boolean;
};

/** Violations that a case showed. */
export type CaseReport = {
  attempts: Attempt[];
  /** Runs of the order after the first. */
  doubled: number;
  /** Answers "not-run" to orders that ran before or after the answer. */
  falselyNotRun: number;
  /** Answers that are truncated, of another request or without an outcome. */
  wrongAnswers: number;
  /** Refused repeats of an order that did not run. */
  blocked: number;
};

/**
 * Lists the cases: a fault of an executor, a concurrent event, either of them
 * with a forwarded request, and pairs of a fault and an event.
 */
export function listFaultCases() {
  const concurrentEvents = Object.keys(CONCURRENT_EVENTS);
  const cut = ["killed", "frozen", "reset"] as const;
  const repeats = [
    "caller repeats here",
    "caller repeats elsewhere",
    "entry host replaced, caller repeats there",
    "append answers lost",
    "log down, caller repeats elsewhere",
  ];
  const executor: FaultCase[] = EXCHANGE_STEPS.flatMap((step) =>
    FAULTS.flatMap((fault) =>
      [true, false].map((isOrder) => ({ step, fault, isOrder }))
    )
  );
  const events: FaultCase[] = EXCHANGE_STEPS.flatMap((step) =>
    concurrentEvents.map((concurrentEvent) => ({ step, concurrentEvent }))
  );
  const forwarded: FaultCase[] = (["half-sent", "unanswered"] as const)
    .flatMap((step) => [
      ...FAULTS.map((fault) => ({ step, fault, isForwarding: true })),
      ...concurrentEvents.map((concurrentEvent) => ({
        step,
        concurrentEvent,
        isForwarding: true,
      })),
    ]);
  const pairs: FaultCase[] = cut.flatMap((fault) =>
    repeats.map((concurrentEvent) => ({
      step: "unanswered",
      fault,
      concurrentEvent,
    }))
  );
  return { executor, events, forwarded, pairs };
}

/** Runs one case and checks each answer that its caller got. */
export async function runFaultCase(
  row: FaultCase,
  options: FaultFixtureOptions = {},
): Promise<CaseReport> {
  const { isForwarding = false } = row;
  const fixture = await createFaultFixture({ ...options, isForwarding });
  try {
    return await runAttempts(fixture, row);
  } finally {
    fixture.close();
  }
}

async function runAttempts(
  fixture: Fixture,
  row: FaultCase,
): Promise<CaseReport> {
  const {
    step,
    fault,
    concurrentEvent = "nothing",
    isOrder = true,
  } = row;
  await fixture.call("entry-a", { key: "earlier", body: "earlier" });
  const key = "order-1";
  const callerAbort = new AbortController();
  const laterAttempts: Promise<Attempt>[] = [];
  const onStep = (executor?: string) => {
    const options = {
      key,
      callerAbort,
      ...(executor !== undefined && { executor }),
    };
    laterAttempts.push(
      ...CONCURRENT_EVENTS[concurrentEvent]!(fixture, options),
    );
  };
  if (step === "before" && fault === undefined) onStep();
  else fixture.executorState.injectedFault = { step, fault, onStep };
  const first = await fixture.call("entry-a", {
    body: BODY,
    signal: callerAbort.signal,
    ...(isOrder && { key }),
  });
  const attempts = [first, ...await Promise.all(laterAttempts)];
  fixture.clearFaults();
  const countRuns = () =>
    fixture.executorState.runs.filter((run) => run === key).length;
  const wasRefused = isOrder &&
    attempts.every(({ outcome }) => outcome === "not-run");
  // An order whose caller was told "not-run" must not run later.
  if (wasRefused) await new Promise((end) => setTimeout(end, SETTLE_MS));
  const lateRuns = wasRefused ? countRuns() : 0;
  // The caller repeats the order until it has an answer.
  const runningHosts = ["entry-b", "entry-a"].filter((name) =>
    isOrder && !fixture.hosts.get(name)!.isCrashed
  );
  for (const name of runningHosts) {
    attempts.push(await fixture.call(name, { key, body: BODY }));
  }
  const repeats = attempts.slice(attempts.length - runningHosts.length);
  const isBlocked = ({ status }: Attempt) => wasRefused && status !== 200;
  const body = answerBody(isOrder ? key : "quote", BODY);
  return {
    attempts,
    doubled: Math.max(0, countRuns() - 1),
    falselyNotRun: lateRuns + attempts.filter(hasFalseNotRun).length,
    wrongAnswers: attempts.filter((it) => isWrongAnswer(it, body)).length,
    blocked: repeats.filter(isBlocked).length,
  };
}

function hasFalseNotRun(attempt: Attempt): boolean {
  return attempt.outcome === "not-run" && attempt.runsBefore > 0;
}

/** A broken connection is not a wrong answer, since the caller notices it. */
function isWrongAnswer(attempt: Attempt, body: string): boolean {
  if (!attempt.isWhole) return false;
  if (attempt.status === 200) {
    return attempt.body !== body || attempt.runsBefore === 0;
  }
  return attempt.outcome === undefined;
}
