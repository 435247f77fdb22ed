import { afterEach, describe, expect, test } from "@jest/globals";
import {
  answerBody,
  type ExecutorFault,
  type Step,
  STEPS,
} from "./_fault_executor.ts";
import { type Attempt, createFaultFixture } from "./_fault_fixture.ts";

type Fixture = Awaited<ReturnType<typeof createFaultFixture>>;

/** Long enough to take several segments. */
const BODY = "b".repeat(200_000);

/** Time in which claims that were held up become visible. */
const SETTLE_MS = 400;

/** What happens beside the executors; returns further attempts. */
type Happening = (
  fixture: Fixture,
  options: { key: string; gone: AbortController },
) => Promise<Attempt>[];

const HAPPENINGS: Record<string, Happening> = {
  nothing: () => [],
  "executor down": (fixture) => {
    fixture.executors[0]!.kill();
    return [];
  },
  "other executor down": (fixture) => {
    fixture.executors[1]!.kill();
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

const FAULTS: ExecutorFault[] = [
  "killed",
  "frozen",
  "slow",
  "reset",
  "twice",
  "previous",
];

let open: Fixture | undefined;
afterEach(() => open?.close());

/** Runs one case and checks all attempts of the caller. */
async function runCase(
  step: Step,
  options: {
    fault?: ExecutorFault;
    happening?: string;
    isOrder?: boolean;
    isForwarding?: boolean;
  },
): Promise<Attempt[]> {
  const { fault, happening = "nothing", isOrder = true } = options;
  const { isForwarding = false } = options;
  const fixture = await createFaultFixture({ isForwarding });
  open = fixture;
  await fixture.call("entry-a", { key: "earlier", body: "earlier" });
  const key = "order-1";
  const gone = new AbortController();
  const further: Promise<Attempt>[] = [];
  const onStep = () => {
    further.push(...HAPPENINGS[happening]!(fixture, { key, gone }));
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
  if (isOrder && attempts.every(({ outcome }) => outcome === "not-run")) {
    // An order whose caller was told "not-run" must not run later.
    await new Promise((resolve) => setTimeout(resolve, SETTLE_MS));
    expect(countRuns()).toBe(0);
  }
  // The caller repeats the order until it has an answer.
  const mayRun = attempts.every(({ outcome }) => outcome === "not-run");
  const live = ["entry-b", "entry-a"].filter((name) =>
    !fixture.hosts.get(name)!.isLost
  );
  for (const name of isOrder ? live : []) {
    const repeat = await fixture.call(name, { key, body: BODY });
    // A key that did not run must not stay blocked.
    if (mayRun) expect(repeat.status).toBe(200);
    attempts.push(repeat);
  }
  const runs = countRuns();
  checkAttempts(attempts, isOrder ? key : "quote");
  if (isOrder) expect(runs).toBeLessThanOrEqual(1);
  const answered = attempts.filter(({ status }) => status === 200);
  if (isOrder && answered.length > 0) expect(runs).toBe(1);
  return attempts;
}

function checkAttempts(attempts: Attempt[], key: string): void {
  for (const attempt of attempts) {
    if (attempt.status === 200 && attempt.isWhole) {
      expect(attempt.body).toBe(answerBody(key, BODY));
    }
    if (attempt.outcome === "not-run") expect(attempt.runsBefore).toBe(0);
    if (attempt.status >= 400) expect(attempt.outcome).toBeDefined();
  }
}

describe("faults of an executor", () => {
  const rows = STEPS.flatMap((step) =>
    FAULTS.flatMap((fault) =>
      [true, false].map((isOrder) => ({ step, fault, isOrder }))
    )
  );
  // Guards against a second run, a false "not-run" and a wrong answer.
  test.each(rows)("$fault $step, order $isOrder", async (row) => {
    await runCase(row.step, row);
  });
});

describe("forwarded orders", () => {
  const rows = (["half-sent", "unanswered"] as const).flatMap((step) => [
    ...FAULTS.map((fault) => ({ step, fault, happening: "nothing" })),
    ...Object.keys(HAPPENINGS).map((happening) => ({ step, happening })),
  ]);
  // Guards against a second run of an order that another entry host runs.
  test.each(rows)("$fault $happening $step", async (row) => {
    await runCase(row.step, { ...row, isForwarding: true });
  });
});

describe("two faults at once", () => {
  const happenings = [
    "caller repeats here",
    "caller repeats elsewhere",
    "entry host replaced, caller repeats there",
    "append answers lost",
    "log down, caller repeats elsewhere",
  ];
  const rows = (["killed", "frozen", "reset"] as const).flatMap((fault) =>
    happenings.map((happening) => ({ fault, happening }))
  );
  // Guards against a second run after the first was cut off.
  test.each(rows)("$fault and $happening", async (row) => {
    await runCase("unanswered", row);
  });
});

describe("faults of all executors", () => {
  // Guards against "not-run" after a retry that found no executor, although
  // the first attempt may have run.
  test.each(["killed", "reset"] as const)("%s", async (fault) => {
    const happening = "other executor down";
    const options = { fault, happening, isOrder: false };
    const [attempt] = await runCase("unanswered", options);
    expect(attempt).toMatchObject({ outcome: "unknown" });
  });
});

describe("faults beside the executors", () => {
  const rows = STEPS.flatMap((step) =>
    Object.keys(HAPPENINGS).map((happening) => ({ step, happening }))
  );
  // Guards against a second run, a false "not-run" and a wrong answer.
  test.each(rows)("$happening $step", async (row) => {
    await runCase(row.step, row);
  });
});
