import { afterEach, describe, expect, jest, test } from "@jest/globals";
import {
  type DaemonProcess,
  startProcessFleet,
  waitUntil,
} from "./_process_fleet.ts";
import { startRelay } from "./_relay.ts";

jest.setTimeout(60_000);

type Problem = { outcome: string; reason: string };
type Refusal = { status: number; mayRepeat: boolean; outcome: string };

const REFUSED: Refusal = { status: 503, mayRepeat: true, outcome: "not-run" };

let open: Awaited<ReturnType<typeof startProcessFleet>> | undefined;
afterEach(async () => {
  await open?.stop();
  open = undefined;
});

async function start() {
  open = await startProcessFleet();
  return open;
}

function expectNoRevert(...daemons: DaemonProcess[]): void {
  for (const { versions } of daemons) {
    expect(versions.length).toBeGreaterThan(0);
    expect(versions).toEqual([...versions].sort((a, b) => a - b));
  }
}

describe("daemons as processes", () => {
  // Guards against a publication that is repeated, or reported as unknown,
  // since the log's and the daemon's answers were lost.
  test("publishes by command line through a lost answer", async () => {
    const { store, first, second, publish, waitForVersion } = await start();
    const relay = await startRelay(first.operatorsAddress);
    try {
      // Other records, such as those of deciders, use up some of them.
      store.faults.lostAnswers = 3;
      relay.loseAnswers(1);
      const addresses = [relay.address];
      const { code, output } = await publish({
        version: 0,
        pool: "extra",
        addresses,
      });
      expect([code, output]).toEqual([0, expect.stringContaining("accepted")]);
      expect(relay.answersToLose()).toBe(0);
    } finally {
      await relay.close();
    }
    await waitForVersion(1);
    const { records } = store.read("control", { from: 0, limit: 1_000 });
    const changes = records.map(({ body }) => body as { type: string })
      .filter(({ type }) => type === "set.changed");
    expect(changes).toHaveLength(1);
    expectNoRevert(first, second);
  });

  // Guards against two winners, and against daemons that disagree about them.
  test("lets one of two racing operators win on every daemon", async () => {
    const { first, second, publish, publishElsewhere, waitForVersion } =
      await start();
    publishElsewhere(0);
    await waitForVersion(1);
    const results = await Promise.all(
      [first, second].map((daemon, index) =>
        publish({
          version: 1,
          pool: `racer-${index}`,
          addresses: [daemon.operatorsAddress],
        })
      ),
    );
    expect(results.map(({ code }) => code).sort()).toEqual([0, 1]);
    await waitForVersion(2);
    const winner = results.findIndex(({ code }) => code === 0);
    for (const { operators } of [first, second]) {
      const { set } = (await operators.currentSet()).unsafeCoerce();
      expect(Object.keys(set.pools).sort()).toEqual([
        "quoting",
        `racer-${winner}`,
      ]);
    }
    expectNoRevert(first, second);
  });

  // Guards against a daemon that serves an old set again after a cut, or after
  // it started from a peer.
  test("reverts no set while one daemon is cut off and another starts", async () => {
    const fleet = await start();
    const { first, second, publishElsewhere, waitForVersion } = fleet;
    publishElsewhere(0);
    await waitForVersion(1);
    second.relay.cut();
    publishElsewhere(1);
    const third = await fleet.start(3, true);
    await waitUntil(() => third.isReady(), "the third daemon");
    publishElsewhere(2);
    await waitForVersion(3);
    first.child.kill("SIGSTOP");
    second.relay.heal();
    third.relay.heal();
    publishElsewhere(3);
    first.child.kill("SIGCONT");
    await waitForVersion(4);
    expectNoRevert(first, second, third);
    expect(third.versions.find((version) => version > 0)).toBeGreaterThan(1);
  });

  // Guards against a data centre that stops, runs orders without a claim, or
  // goes through old sets while it is cut off from the log.
  test("serves quotes and refuses orders in a cut-off data centre", async () => {
    const fleet = await start();
    const { first, second, executor, publishElsewhere, waitForVersion } = fleet;
    publishElsewhere(0);
    await waitForVersion(1);
    let served = 0;
    const call = async (daemon: DaemonProcess, key?: string) => {
      const response = await daemon.call(key ? "POST" : "GET", key);
      const { status, headers } = response;
      if (status === 200) served++;
      return { status, headers, body: await response.text() };
    };
    const quote = async (daemon: DaemonProcess) =>
      (await call(daemon)).status === 200;
    await waitUntil(() => quote(first), "a quote");
    await waitUntil(() => quote(second), "a quote");
    expect((await call(first, "k-1")).status).toBe(200);
    for (const { relay } of [first, second]) relay.cut();
    publishElsewhere(1);
    publishElsewhere(2);
    for (const daemon of [first, second]) {
      const refusals: Refusal[] = [];
      // Until the daemon notices the cut, orders wait for their claims.
      await waitUntil(async () => {
        const key = `${daemon.operatorsAddress}-${refusals.length}`;
        const { status, headers, body } = await call(daemon, key);
        const { outcome, reason } = JSON.parse(body) as Problem;
        const mayRepeat = headers.has("retry-after");
        refusals.push({ status, mayRepeat, outcome });
        return reason === "log-unavailable";
      }, "refused orders");
      for (const refusal of refusals) expect(refusal).toEqual(REFUSED);
      expect(await quote(daemon)).toBe(true);
    }
    expect([await first.version(), await second.version()]).toEqual([1, 1]);
    for (const { relay } of [first, second]) relay.heal();
    await waitForVersion(3);
    expectNoRevert(first, second);
    // A refused order runs when its caller repeats it, and only then.
    for (const daemon of [first, second]) {
      const key = `${daemon.operatorsAddress}-0`;
      const isRun = async () => (await call(daemon, key)).status === 200;
      await waitUntil(isRun, "the repeated order");
    }
    expect(executor.stats.runs).toBe(served);
  });

  // Guards against a daemon that keeps the set from before a pause.
  test("puts a set in force in a daemon that was frozen", async () => {
    const { first, second, publish, waitForVersion } = await start();
    second.child.kill("SIGSTOP");
    const addresses = [first.operatorsAddress];
    const { code } = await publish({ version: 0, pool: "extra", addresses });
    expect(code).toBe(0);
    second.child.kill("SIGCONT");
    await waitForVersion(1);
    expectNoRevert(first, second);
  });
});
