import {
  afterEach,
  beforeEach,
  describe,
  expect,
  jest,
  test,
} from "@jest/globals";
import { createMemoryStore, type MemoryStore } from "@lagoonloom/standins";
import {
  advanceTime,
  createAccepted,
  createConfiguration,
  createStep,
  JOB_ID,
  PARTITION,
} from "../_fixtures.ts";
import { JOBS_TOPIC } from "../topics.ts";
import { acceptJob, type RecordOutcome } from "./accept_job.ts";

/** Longest wait for the store in milliseconds. */
const TIMEOUT_MS = 2_000;

describe("acceptJob", () => {
  let store: MemoryStore;
  let isAway: boolean;
  let relayed: RecordOutcome | undefined;

  beforeEach(() => {
    jest.useFakeTimers();
    store = createMemoryStore({ partitions: 8 });
    isAway = false;
    relayed = undefined;
  });

  afterEach(() => {
    jest.useRealTimers();
  });

  const accept = async (): Promise<RecordOutcome> => {
    const accepted = acceptJob(
      JOB_ID,
      createAccepted([createStep()]).submission,
      {
        store,
        layout: new Map([["quoting", [PARTITION]]]),
        queue: createConfiguration().queues[0]!,
        timeoutMs: TIMEOUT_MS,
        isStoreAway: () => isAway,
        relay: () => Promise.resolve(relayed),
      },
    );
    await advanceTime(TIMEOUT_MS + 500);
    return await accepted;
  };

  const isStored = () =>
    store.newest({ topic: JOBS_TOPIC, partition: PARTITION }).has(JOB_ID);

  // Guards against callers that are told that the outcome is unknown although
  // nothing was stored (154 of 422 jobs on trouble-1 of Nyabarongo).
  test("refuses when the store refuses and nobody else reaches it", async () => {
    store.fault = "refusing";
    expect((await accept()).type).toBe("refused");
    expect(isStored()).toBe(false);
  });

  test("sends nothing to a store that is away", async () => {
    store.fault = "losingAnswers";
    isAway = true;
    expect((await accept()).type).toBe("refused");
    expect(isStored()).toBe(false);
  });

  // Guards against a job that runs although its caller was told that it was not
  // accepted.
  test.each(["losingAnswers", "silent"] as const)(
    "says that the outcome is unknown when no answer comes (%s)",
    async (fault) => {
      store.fault = fault;
      expect((await accept()).type).toBe("unknown");
    },
  );

  test("stays unknown when only the repeat is refused", async () => {
    store.fault = "losingAnswers";
    const { append } = store;
    store.append = async (...call) => {
      const outcome = await append(...call);
      store.fault = "refusing";
      return outcome;
    };
    expect((await accept()).type).toBe("unknown");
    expect(isStored()).toBe(true);
  });

  // Guards against callers that have to come back for one lost answer.
  test("repeats an append whose answer was lost", async () => {
    store.fault = "losingAnswers";
    const { append } = store;
    store.append = async (...call) => {
      const outcome = await append(...call);
      store.fault = undefined;
      return outcome;
    };
    expect((await accept()).type).toBe("stored");
  });

  test("stores through a member that reaches the store", async () => {
    isAway = true;
    relayed = { type: "stored" };
    expect((await accept()).type).toBe("stored");
  });

  test("does not refuse what another member may have stored", async () => {
    store.fault = "refusing";
    relayed = { type: "unknown", reason: "no answer" };
    expect((await accept()).type).toBe("unknown");
  });
});
