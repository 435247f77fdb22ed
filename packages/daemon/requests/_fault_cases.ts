import {
  answerBody,
  type ExecutorFault,
  type Step,
  STEPS,
} from "./_fault_executor.ts";
import {
  type Attempt,
  createFaultFixture,
  type FaultFixtureOptions,
} from "./_fault_fixture.ts";

type Fixture = Awaited<ReturnType<typeof createFaultFixture>>;

/** Long enough to take several segments. */
const BODY = "b".repeat(200_000);

/** Time in which claims that were held up become visible. */
const SETTLE_MS = 400;

/** What happens beside the executors; returns further attempts. */
type Happening = (
  fixture: Fixture,
  options: { key: string; gone: AbortController; executor?: string },
) => Promise<Attempt>[];

export const HAPPENINGS: Record<string, Happening> = {
  nothing: () => [],
  "executor down": (fixture) => {
    fixture.executors[0]!.kill();
    return [];
  },
  "other executor down": (fixture, { executor }) => {
    // Which executor serves depends on their measured run times.
    fixture.executors.find(({ address }) => address !== executor)!.kill();
    return [];
  },
  "caller gone": (_, { gone }) => {
    gone.abort();
    return [];
  },
  "caller repeats here": (fixture, { key }) => [
    fixture.call("entry-a", { key, body: BODY }),
  ],
  "caller repeats elsewhere": (fixture, { key }) => [
    fixture.call("entry-b", { key, body: BODY }),
  ],
  "entry host lost": (fixture) => {
    fixture.lose("entry-a");
    return [];
  },
  "entry host replaced, caller repeats there": (fixture, { key }) => {
    fixture.lose("entry-a");
    const repeat = fixture.start("entry-a", 2)
      .then(() => fixture.call("entry-a", { key, body: BODY }));
    return [repeat];
  },
  "other entry host lost": (fixture) => {
    fixture.lose("entry-b");
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
  "records twice": (fixture) => {
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
    fixture.changeSet();
    return [];
  },
};

export const FAULTS: ExecutorFault[] = [
  "killed",
  "frozen",
  "slow",
  "reset",
  "twice",
  "previous",
];

/** Faults to show at a step of an exchange. */
export type FaultCase = {
  step: Step;
  fault?: ExecutorFault | undefined;
  happening?: string;
  /** Whether the request is an order, else a quote. */
  isOrder?: boolean;
  isForwarding?: boolean;
};

/** What a case showed. */
export type CaseReport = {
  attempts: Attempt[];
  /** Runs of the order beyond the first. */
  doubled: number;
  /** Answers "not-run" that are not true, then or later. */
  falselyNotRun: number;
  /** Answers that are cut, of another request or without an outcome. */
  wrongAnswers: number;
  /** Repeats of an order that did not run and stays refused. */
  blocked: number;
};

/** Lists every case: single faults, forwarded orders and pairs. */
export function listFaultCases() {
  const happenings = Object.keys(HAPPENINGS);
  const cut = ["killed", "frozen", "reset"] as const;
  const repeats = [
    "caller repeats here",
    "caller repeats elsewhere",
    "entry host replaced, caller repeats there",
    "append answers lost",
    "log down, caller repeats elsewhere",
  ];
  const executor: FaultCase[] = STEPS.flatMap((step) =>
    FAULTS.flatMap((fault) =>
      [true, false].map((isOrder) => ({ step, fault, isOrder }))
    )
  );
  const surroundings: FaultCase[] = STEPS.flatMap((step) =>
    happenings.map((happening) => ({ step, happening }))
  );
  const forwarded: FaultCase[] = (["half-sent", "unanswered"] as const)
    .flatMap((step) => [
      ...FAULTS.map((fault) => ({ step, fault, isForwarding: true })),
      ...happenings.map((happening) => ({
        step,
        happening,
        isForwarding: true,
      })),
    ]);
  const pairs: FaultCase[] = cut.flatMap((fault) =>
    repeats.map((happening) => ({ step: "unanswered", fault, happening }))
  );
  return { executor, surroundings, forwarded, pairs };
}

/** Runs one case and checks all attempts of the caller. */
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
  const { step, fault, happening = "nothing", isOrder = true } = row;
  await fixture.call("entry-a", { key: "earlier", body: "earlier" });
  const key = "order-1";
  const gone = new AbortController();
  const further: Promise<Attempt>[] = [];
  const onStep = (executor?: string) => {
    const options = { key, gone, ...(executor !== undefined && { executor }) };
    further.push(...HAPPENINGS[happening]!(fixture, options));
  };
  if (step === "before" && fault === undefined) onStep();
  else fixture.log.script = { step, fault, onStep };
  const first = await fixture.call("entry-a", {
    body: BODY,
    gone: gone.signal,
    ...(isOrder && { key }),
  });
  const attempts = [first, ...await Promise.all(further)];
  fixture.heal();
  const countRuns = () => fixture.log.runs.filter((run) => run === key).length;
  const wasRefused = isOrder &&
    attempts.every(({ outcome }) => outcome === "not-run");
  // An order whose caller was told "not-run" must not run later.
  if (wasRefused) await new Promise((end) => setTimeout(end, SETTLE_MS));
  const lateRuns = wasRefused ? countRuns() : 0;
  // The caller repeats the order until it has an answer.
  const live = ["entry-b", "entry-a"].filter((name) =>
    isOrder && !fixture.hosts.get(name)!.isLost
  );
  for (const name of live) {
    attempts.push(await fixture.call(name, { key, body: BODY }));
  }
  const repeats = attempts.slice(attempts.length - live.length);
  const isBlocked = ({ status }: Attempt) => wasRefused && status !== 200;
  const body = answerBody(isOrder ? key : "quote", BODY);
  return {
    attempts,
    doubled: Math.max(0, countRuns() - 1),
    falselyNotRun: lateRuns + attempts.filter(isFalselyNotRun).length,
    wrongAnswers: attempts.filter((it) => isWrong(it, body)).length,
    blocked: repeats.filter(isBlocked).length,
  };
}

function isFalselyNotRun(attempt: Attempt): boolean {
  return attempt.outcome === "not-run" && attempt.runsBefore > 0;
}

/** A connection that breaks is no answer, which the caller can tell. */
function isWrong(attempt: Attempt, body: string): boolean {
  if (!attempt.isWhole) return false;
  if (attempt.status === 200) {
    return attempt.body !== body || attempt.runsBefore === 0;
  }
  return attempt.outcome === undefined;
}
