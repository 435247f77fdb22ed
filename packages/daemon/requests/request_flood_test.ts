import { afterEach, describe, expect, test } from "@jest/globals";
import type { Urgency } from "@lagoonloom/decisions";
import { answerBody } from "./_fault_executor.ts";
import { type Attempt, createFaultFixture } from "./_fault_fixture.ts";

type Fixture = Awaited<ReturnType<typeof createFaultFixture>>;
type Order = { key: string; attempt: Attempt };

/** Orders of each flood; far more than can run within their deadline. */
const ORDERS = 300;

/** Run time in milliseconds, of which a slot fits six into the deadline. */
const RUN_MS = 50;

/** Time in milliseconds in which claims that were held up become visible. */
const SETTLE_MS = 500;

let open: Fixture | undefined;
afterEach(() => open?.close());

const sleep = (ms: number) => new Promise((resolve) => setTimeout(resolve, ms));

/** Sends orders to both entry hosts; a third is the repeat of another one. */
function flood(fixture: Fixture, urgency: Urgency): Promise<Order>[] {
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
  "an entry host lost": (fixture) => fixture.lose("entry-b"),
  "an entry host cut off": ({ hosts }) => {
    hosts.get("entry-b")!.isCutOff = true;
  },
};

describe("a flood of deferrable, then of urgent orders", () => {
  // Guards against orders that run twice or after "not-run", and against
  // answers of other orders, when queues are full and requests are refused.
  test.each(Object.entries(FAULTS))("with %s", async (_, fault) => {
    const fixture = open = await createFaultFixture();
    fixture.log.runMs = RUN_MS;
    const first = flood(fixture, "deferrable");
    // The fault meets running orders, however long the first claims take.
    while (fixture.log.runs.length === 0) await sleep(5);
    fault(fixture);
    const orders = await Promise.all([...first, ...flood(fixture, "urgent")]);
    fixture.heal();
    await sleep(SETTLE_MS);
    const runs = new Map<string, number>();
    for (const key of fixture.log.runs) runs.set(key, (runs.get(key) ?? 0) + 1);
    expect([...runs.values()].filter((count) => count > 1)).toEqual([]);
    const answered = orders.filter(({ attempt }) => attempt.status === 200);
    expect(answered.map(({ attempt }) => attempt.body))
      .toEqual(answered.map(({ key }) => answerBody(key, key)));
    expect(answered.filter(({ key }) => !runs.has(key))).toEqual([]);
    // A repeat may be refused before the first one runs, but not after it.
    const refused = orders.filter(({ attempt }) =>
      attempt.outcome === "not-run"
    );
    expect(refused.filter(({ attempt }) => attempt.runsBefore > 0)).toEqual([]);
    const left = refused.filter(({ key }) =>
      orders.every((it) => it.key !== key || it.attempt.outcome === "not-run")
    );
    expect(left.filter(({ key }) => runs.has(key))).toEqual([]);
    expect(refused.length).toBeGreaterThan(0);
    expect(runs.size).toBeGreaterThan(0);
  });
});
