import { afterEach, describe, expect, test } from "@jest/globals";
import type { Urgency } from "@lagoonloom/decisions";
import type { Attempt } from "./_fault_caller.ts";
import { answerBody } from "./_fault_executor.ts";
import { createFaultFixture } from "./_fault_fixture.ts";

type Fixture = Awaited<ReturnType<typeof createFaultFixture>>;
type Order = { key: string; attempt: Attempt };

/** Orders of each burst, many more than can run within their deadline. */
const ORDERS = 300;

/** Run time in milliseconds, a sixth of the deadline. */
const RUN_MS = 50;

/** Time in milliseconds in which delayed claims reach the entry hosts. */
const SETTLE_MS = 500;

let open: Fixture | undefined;
afterEach(() => open?.close());

const sleep = (ms: number) => new Promise((resolve) => setTimeout(resolve, ms));

/** Sends orders to both entry hosts; every third repeats the one before it. */
function sendOrders(fixture: Fixture, urgency: Urgency): Promise<Order>[] {
  return Array.from({ length: ORDERS }, async (_, index) => {
    const number = index % 3 === 2 ? index - 1 : index;
    const key = `${urgency}-${number}`;
    const host = index % 2 === 0 ? "entry-a" : "entry-b";
    const attempt = await fixture.call(host, { key, body: key, urgency });
    return { key, attempt };
  });
}

const FAULTS: Record<string, (fixture: Fixture) => void> = {
  "nothing else": () => undefined,
  "an executor killed": ({ executors }) => executors[0]!.kill(),
  "all executors killed": ({ executors }) => {
    for (const executor of executors) executor.kill();
  },
  "the log down": ({ store }) => {
    store.faults.isDown = true;
  },
  "answers of the log lost": ({ store }) => {
    store.faults.lostAnswers = 5;
  },
  "an entry host lost": (fixture) => fixture.crash("entry-b"),
  "an entry host cut off": ({ hosts }) => {
    hosts.get("entry-b")!.isCutOff = true;
  },
};

describe("a flood of deferrable, then of urgent orders", () => {
  // Guards against orders that run twice or after "not-run", and against
  // answers of other orders, while queues are full and requests are refused.
  test.each(Object.entries(FAULTS))("with %s", async (_, fault) => {
    const fixture = open = await createFaultFixture();
    fixture.executorState.runMs = RUN_MS;
    const first = sendOrders(fixture, "deferrable");
    // A fixed delay may be too short for the first run on a busy machine.
    while (fixture.executorState.runs.length === 0) await sleep(5);
    fault(fixture);
    const orders = await Promise.all([
      ...first,
      ...sendOrders(fixture, "urgent"),
    ]);
    fixture.clearFaults();
    await sleep(SETTLE_MS);
    const runs = new Map<string, number>();
    for (const key of fixture.executorState.runs) {
      runs.set(key, (runs.get(key) ?? 0) + 1);
    }
    expect([...runs.values()].filter((count) => count > 1)).toEqual([]);
    const answered = orders.filter(({ attempt }) => attempt.status === 200);
    expect(answered.map(({ attempt }) => attempt.body))
      .toEqual(answered.map(({ key }) => answerBody(key, key)));
    expect(answered.filter(({ key }) => !runs.has(key))).toEqual([]);
    // A repeat may be refused before the first run, but not after it.
    const refused = orders.filter(({ attempt }) =>
      attempt.outcome === "not-run"
    );
    expect(refused.filter(({ attempt }) => attempt.runsBefore > 0)).toEqual([]);
    const neverTaken = refused.filter(({ key }) =>
      orders.every((it) => it.key !== key || it.attempt.outcome === "not-run")
    );
    expect(neverTaken.filter(({ key }) => runs.has(key))).toEqual([]);
    expect(refused.length).toBeGreaterThan(0);
    expect(runs.size).toBeGreaterThan(0);
  });
});
