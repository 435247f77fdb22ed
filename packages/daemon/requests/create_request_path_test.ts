import { afterEach, describe, expect, test } from "@jest/globals";
import { createEventLog, createMetrics } from "@lagoonloom/telemetry";
import type { CallOptions } from "./_fault_caller.ts";
import { createFaultFixture } from "./_fault_fixture.ts";

type Fixture = Awaited<ReturnType<typeof createFaultFixture>>;

let open: Fixture | undefined;
afterEach(() => open?.close());

async function createFixture(
  options: Parameters<typeof createFaultFixture>[0] = {},
): Promise<Fixture> {
  open = await createFaultFixture(options);
  return open;
}

describe("createRequestPath", () => {
  const repeats: [string, string, CallOptions, number, number][] = [
    ["same order here", "entry-a", {}, 200, 1],
    ["same order elsewhere", "entry-b", {}, 200, 1],
    ["other content here", "entry-a", { body: "other" }, 422, 1],
    ["other content elsewhere", "entry-b", { body: "other" }, 422, 1],
    ["other caller", "entry-b", { token: "other" }, 200, 2],
    ["other key", "entry-b", { key: "k-2" }, 200, 2],
  ];
  // Guards against an idempotency key that matches the order of another caller
  // or hides that the key was reused for another request.
  test.each(repeats)("repeat: %s", async (...row) => {
    const [, host, changes, status, runs] = row;
    const fixture = await createFixture();
    const order = { key: "k-1", body: "one" };
    const first = await fixture.call("entry-a", order);
    const second = await fixture.call(host, { ...order, ...changes });
    expect([first.status, second.status]).toEqual([200, status]);
    expect(fixture.executorState.runs.length).toBe(runs);
    if (status === 422) expect(second.reason).toBe("key-reused");
  });

  const refusals: [string, CallOptions, number, string][] = [
    ["order without a key", { service: "orders" }, 400, "key-required"],
    ["unknown service", { service: "none" }, 404, "unknown-service"],
    [
      "unknown service with a key",
      { service: "none", key: "k" },
      404,
      "unknown-service",
    ],
  ];
  // Guards against claims or runs of a request that was refused.
  test.each(refusals)("refuses: %s", async (...row) => {
    const [, options, status, reason] = row;
    const fixture = await createFixture();
    const attempt = await fixture.call("entry-a", options);
    expect(attempt).toMatchObject({ status, reason, outcome: "not-run" });
    expect(fixture.executorState.runs).toEqual([]);
    expect(fixture.store.read("claims", { from: 0, limit: 1 }).records)
      .toEqual([]);
  });

  // Guards against orders that are accepted without a claim in the log, and
  // against quotes that fail when the log is unavailable.
  test("serves quotes and refuses orders while the log is unavailable", async () => {
    let isFresh = true;
    const fixture = await createFixture({
      overrides: { logIsFresh: () => isFresh },
    });
    await fixture.call("entry-a", { key: "k-0" });
    isFresh = false;
    const quote = await fixture.call("entry-a", { body: "one" });
    const order = await fixture.call("entry-a", { key: "k-1" });
    expect(quote.status).toBe(200);
    expect(order).toMatchObject({
      status: 503,
      outcome: "not-run",
      reason: "log-unavailable",
    });
  });

  // Guards against orders that are refused at the limit of claims without an
  // earlier warning.
  test("warns once before the limit of claims is reached", async () => {
    const seen: unknown[] = [];
    const metrics = createMetrics();
    const events = createEventLog({
      format: "hidden",
      onEvent: ({ id }, fields) => seen.push([id, fields]),
    });
    const overrides = { events, metrics };
    const fixture = await createFixture({ maxClaims: 5, overrides });
    const { path } = fixture.hosts.get("entry-a")!;
    for (const key of ["k-1", "k-2", "k-3", "k-4"]) {
      expect((await fixture.call("entry-a", { key })).status).toBe(200);
    }
    await path.drained();
    await new Promise((resolve) => setTimeout(resolve, 120));
    // Each of the two entry hosts logs it once to the shared event log.
    const warning = ["LL4005", { claims: 4, limit: 5 }];
    expect(seen).toEqual([warning, warning]);
    const text = await metrics.registry.metrics();
    expect(text).toContain("lagoonloom_claims 4\n");
    expect(text).toContain("lagoonloom_claims_limit 5\n");
    expect(text).toContain(
      '_team_request_duration_seconds_count{team="team",urgency="normal"} 4',
    );
  });

  // Guards against a request that is sent without the right to use a slot, and
  // against an order whose claim is not released afterwards.
  test("sends nothing without slot rights", async () => {
    let hasRights = false;
    const fixture = await createFixture({
      overrides: { hasSlotRights: () => hasRights },
    });
    const order = { key: "k-1", body: "one" };
    const refused = await fixture.call("entry-a", order);
    expect(refused).toMatchObject({ status: 503, outcome: "not-run" });
    expect(fixture.executorState.runs).toEqual([]);
    hasRights = true;
    expect((await fixture.call("entry-b", order)).status).toBe(200);
  });

  // Guards against an exchange that still uses its slot when another entry host
  // may take the slot over.
  test("ends an exchange after the longest run time", async () => {
    const fixture = await createFixture({ longestRequestMs: 50 });
    fixture.executorState.injectedFault = { step: "unanswered", fault: "slow" };
    const quote = await fixture.call("entry-a", { body: "one" });
    expect(quote).toMatchObject({ status: 504, outcome: "unknown" });
  });

  // Guards against more requests on an executor than it has slots: it may still
  // run a request whose caller has stopped waiting.
  test("keeps the slot of an abandoned request until it must have ended", async () => {
    const fixture = await createFixture({ longestRequestMs: 50 });
    const { path } = fixture.hosts.get("entry-a")!;
    fixture.executorState.injectedFault = {
      step: "unanswered",
      fault: "frozen",
    };
    const quote = await fixture.call("entry-a", { body: "one" });
    expect(quote).toMatchObject({ status: 504, outcome: "unknown" });
    expect(path.runningSlots()).toBe(1);
    await path.drained();
    expect(path.runningSlots()).toBe(0);
  });

  // Guards against an unknown outcome when the executor closes an idle
  // connection just as a request is sent on it.
  test("survives an executor that closes idle connections", async () => {
    const fixture = await createFixture();
    for (const body of ["one", "two", "three"]) {
      expect((await fixture.call("entry-a", { body })).status).toBe(200);
    }
    fixture.executorState.closesIdleConnections = true;
    expect((await fixture.call("entry-a", { body: "four" })).status).toBe(200);
    const order = await fixture.call("entry-a", { key: "k-1" });
    expect(order.status).toBe(200);
  });

  // Guards against a graceful stop that interrupts a request, and against
  // "not-run" as the answer of a stopping entry host to a repeat.
  test("finishes requests in progress when it stops", async () => {
    const fixture = await createFixture();
    const { path } = fixture.hosts.get("entry-a")!;
    let drained: Promise<void> | undefined;
    fixture.executorState.injectedFault = {
      step: "unanswered",
      fault: "slow",
      onStep() {
        path.stopAccepting();
        drained = path.drained();
      },
    };
    const order = { key: "k-1", body: "one" };
    expect((await fixture.call("entry-a", order)).status).toBe(200);
    await drained;
    const claims = fixture.store.read("claims", { from: 0, limit: 10 });
    expect(JSON.stringify(claims.records)).toContain('"completed"');
    expect((await fixture.call("entry-a", order)).status).toBe(200);
    const later = await fixture.call("entry-a", { key: "k-2" });
    expect(later).toMatchObject({ outcome: "not-run", reason: "stopping" });
    expect(fixture.executorState.runs).toEqual(["k-1"]);
  });
});
