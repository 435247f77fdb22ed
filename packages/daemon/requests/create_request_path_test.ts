import { afterEach, describe, expect, test } from "@jest/globals";
import { createEventLog, createMetrics } from "@lagoonloom/telemetry";
import { type CallOptions, createFaultFixture } from "./_fault_fixture.ts";

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
  // Guards against a key that is mixed up with another request or caller.
  test.each(repeats)("repeat: %s", async (...row) => {
    const [, host, changes, status, runs] = row;
    const fixture = await createFixture();
    const order = { key: "k-1", body: "one" };
    const first = await fixture.call("entry-a", order);
    const second = await fixture.call(host, { ...order, ...changes });
    expect([first.status, second.status]).toEqual([200, status]);
    expect(fixture.log.runs.length).toBe(runs);
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
  // Guards against state that a refused request leaves behind.
  test.each(refusals)("refuses: %s", async (...row) => {
    const [, options, status, reason] = row;
    const fixture = await createFixture();
    const attempt = await fixture.call("entry-a", options);
    expect(attempt).toMatchObject({ status, reason, outcome: "not-run" });
    expect(fixture.log.runs).toEqual([]);
    expect(fixture.store.read("claims", { from: 0, limit: 1 }).records)
      .toEqual([]);
  });

  // Guards against orders without an agreed claim, and against quotes that
  // depend on the log.
  test("without a fresh log, serves quotes and refuses orders", async () => {
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

  // Guards against orders that are refused without a warning before.
  test("warns once before the claims are full", async () => {
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
    // Both entry hosts of the fixture use the same event log.
    const warning = ["LL4005", { claims: 4, limit: 5 }];
    expect(seen).toEqual([warning, warning]);
    const text = await metrics.registry.metrics();
    expect(text).toContain("lagoonloom_claims 4\n");
    expect(text).toContain("lagoonloom_claims_limit 5\n");
    expect(text).toContain(
      '_team_request_duration_seconds_count{team="team",urgency="normal"} 4',
    );
  });

  // Guards against a request that is sent under expired slot rights, and
  // against an order that stays claimed after that.
  test("sends nothing without slot rights", async () => {
    let hasRights = false;
    const fixture = await createFixture({
      overrides: { hasSlotRights: () => hasRights },
    });
    const order = { key: "k-1", body: "one" };
    const refused = await fixture.call("entry-a", order);
    expect(refused).toMatchObject({ status: 503, outcome: "not-run" });
    expect(fixture.log.runs).toEqual([]);
    hasRights = true;
    expect((await fixture.call("entry-b", order)).status).toBe(200);
  });

  // Guards against an exchange that outlasts the time after which another
  // entry host may use the slot.
  test("ends an exchange after the longest request", async () => {
    const fixture = await createFixture({ longestRequestMs: 50 });
    fixture.log.script = { step: "unanswered", fault: "slow" };
    const quote = await fixture.call("entry-a", { body: "one" });
    expect(quote).toMatchObject({ status: 504, outcome: "unknown" });
  });

  // Guards against a ninth request at an executor, which still runs one that
  // its caller no longer waits for.
  test("keeps the slot of an abandoned request for a time", async () => {
    const fixture = await createFixture({ longestRequestMs: 50 });
    const { path } = fixture.hosts.get("entry-a")!;
    fixture.log.script = { step: "unanswered", fault: "frozen" };
    const quote = await fixture.call("entry-a", { body: "one" });
    expect(quote).toMatchObject({ status: 504, outcome: "unknown" });
    expect(path.runningSlots()).toBe(1);
    await path.drained();
    expect(path.runningSlots()).toBe(0);
  });

  // Guards against an unknown outcome, since the executor closed the idle
  // connection on which the request was sent.
  test("survives an executor that closes idle connections", async () => {
    const fixture = await createFixture();
    for (const body of ["one", "two", "three"]) {
      expect((await fixture.call("entry-a", { body })).status).toBe(200);
    }
    fixture.log.closesIdle = true;
    expect((await fixture.call("entry-a", { body: "four" })).status).toBe(200);
    const order = await fixture.call("entry-a", { key: "k-1" });
    expect(order.status).toBe(200);
  });

  // Guards against a planned stop that cuts off a request, and against a
  // repeat that a stopping entry host calls "not-run".
  test("finishes requests in progress when it stops", async () => {
    const fixture = await createFixture();
    const { path } = fixture.hosts.get("entry-a")!;
    let drained: Promise<void> | undefined;
    fixture.log.script = {
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
    expect(fixture.log.runs).toEqual(["k-1"]);
  });
});
