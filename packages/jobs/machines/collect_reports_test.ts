import {
  afterEach,
  beforeEach,
  describe,
  expect,
  jest,
  test,
} from "@jest/globals";
import type { OwnerClient } from "@lagoonloom/peers";
import { advanceTime } from "../_fixtures.ts";
import type { Layout } from "../owned/layout.ts";
import { createOwnerSilence } from "../queries/owner_silence.ts";
import type { OwnerAccess } from "../queries/query_owner.ts";
import { createReportCollector } from "./collect_reports.ts";
import type { PartitionReport } from "./partition_report.ts";

/** Interval between two rounds of the owner of the machines. */
const ROUND_INTERVAL_MS = 250;

const LAYOUT: Layout = new Map([["quoting", [0]], ["checking", [1]]]);

/** Owners of two partitions, each at its member. */
type OwnersFixture = {
  /** Time after which each answers; infinite for a silent one. */
  answerMs: [number, number];
  /** Requests that each got. */
  requests: [number, number];
  collect(): Promise<(PartitionReport | undefined)[]>;
};

function createReport(partition: number): PartitionReport {
  const service = partition === 0 ? "quoting" : "checking";
  return {
    demand: [{
      service,
      lastingCpu: 0,
      runningCpu: 0,
      waitingCpu: 4_000,
      waitedMs: 0,
      leastExecutors: 0,
    }],
    busy: [],
    idle: [`e${partition}`],
  };
}

function createOwnersFixture(): OwnersFixture {
  const createClient = (partition: 0 | 1): Pick<OwnerClient, "report"> => ({
    report(_request, timeout) {
      fixture.requests[partition]++;
      const mostMs = typeof timeout === "number" ? timeout : timeout.mostMs;
      const answerMs = fixture.answerMs[partition];
      return new Promise((resolve) => {
        setTimeout(() => {
          const report = { isOwner: true, ...createReport(partition) };
          resolve(answerMs <= mostMs ? report as never : undefined);
        }, Math.min(answerMs, mostMs));
      });
    },
  });
  const clients = [createClient(0), createClient(1)];
  const access: OwnerAccess = {
    localOwner: () => undefined,
    directory: {
      find: (partition) => Promise.resolve(String(partition)),
      members: () => [],
      readMembers: () => Promise.resolve([]),
      invalidate: () => undefined,
    },
    client: (address) => clients[Number(address)] as OwnerClient,
    ownAddress: "own",
    noteFullServices: () => undefined,
    silence: createOwnerSilence({ log: () => undefined }),
    storedStates: { find: () => Promise.resolve(undefined) },
  };
  const collector = createReportCollector(access);
  const fixture: OwnersFixture = {
    answerMs: [1, 1],
    requests: [0, 0],
    collect: () =>
      collector.collect({ layout: LAYOUT, reserved: [], ended: [] }),
  };
  return fixture;
}

describe("createReportCollector", () => {
  let fixture: OwnersFixture;

  beforeEach(() => {
    jest.useFakeTimers();
    fixture = createOwnersFixture();
  });

  afterEach(() => {
    jest.useRealTimers();
  });

  /** Collects reports in one round after the other. */
  async function collectFor(ms: number) {
    const rounds: (PartitionReport | undefined)[][] = [];
    const endMs = performance.now() + ms;
    let isOpen = false;
    while (performance.now() < endMs) {
      if (!isOpen) {
        isOpen = true;
        void fixture.collect().then((reports) => {
          rounds.push(reports);
          setTimeout(() => (isOpen = false), ROUND_INTERVAL_MS);
        });
      }
      await advanceTime(10);
    }
    return rounds;
  }

  // Guards against a service whose machines are moved away, as its owner gives
  // no report for a moment.
  test("counts the last demand of an owner that is silent", async () => {
    await collectFor(300);
    fixture.answerMs[0] = Infinity;
    const rounds = await collectFor(3_000);
    for (const [first] of rounds) {
      expect(first?.demand).toEqual(createReport(0).demand);
    }
  });

  // Guards against machines that are ordered away by a report that does not
  // tell that their executors are reserved now.
  test("names no idle executors of an owner that is silent", async () => {
    await collectFor(300);
    fixture.answerMs[0] = Infinity;
    const rounds = await collectFor(3_000);
    for (const [first] of rounds) expect(first?.idle).toEqual([]);
  });

  // Guards against a demand that no owner knows any more.
  test("forgets the demand of an owner that stays silent", async () => {
    await collectFor(300);
    fixture.answerMs[0] = Infinity;
    await collectFor(6_000);
    const [last] = (await collectFor(1_000)).slice(-1);
    expect(last![0]).toBeUndefined();
    expect(last![1]?.idle).toEqual(["e1"]);
  });

  // Guards against one silent owner that holds up the reports of the others.
  test("requests reports of others as often beside a silent owner", async () => {
    await collectFor(6_000);
    const before = fixture.requests[1];
    fixture.answerMs[0] = Infinity;
    await collectFor(6_000);
    const beside = fixture.requests[1] - before;
    expect(beside).toBeGreaterThan(0.75 * before);
  });

  // Guards against a service that counts as one without demand, as each report
  // of its owner takes longer than a round.
  test("takes a report that comes late for the next round", async () => {
    fixture.answerMs[0] = 840;
    const rounds = await collectFor(4_000);
    for (const [first] of rounds.slice(4)) {
      expect(first?.demand).toEqual(createReport(0).demand);
    }
  });
});
