import { create } from "@bufbuild/protobuf";
import { LimitRequestSchema, LimitResponseSchema } from "@lagoonloom/peers";
import { describe, expect, test } from "@jest/globals";
import { createConfiguration, createStep } from "../../_record_fixtures.ts";
import { NOTHING, plus } from "./_amounts.ts";
import { createCapLedger } from "./cap_ledger.ts";
import { type CapDemand, divideCap } from "./divide_cap.ts";
import {
  decodeAnswer,
  decodeLimits,
  encodeAnswer,
  encodeLimits,
} from "./limit_records.ts";
import { createOrganisationCaps } from "./organisation_caps.ts";
import { createOrganisationLimits } from "./organisation_limits.ts";

const cpuOf = (cpu: number) => ({ ...NOTHING, cpu });

/** Demand of running and waiting tasks, in numbers of cores. */
function demandOf(
  partition: number,
  [running, waiting, unit, waitedMs]: [number, number, number, number],
): CapDemand {
  return {
    partition,
    mayRun: cpuOf(running),
    waiting: cpuOf(waiting),
    unit: cpuOf(unit),
    waitedMs,
  };
}

describe("divideCap", () => {
  test.each<[string, [number, number, number, number][], number[]]>([
    ["nobody asks", [[0, 0, 0, 0], [0, 0, 0, 0]], [50, 50]],
    ["one asks for all", [[0, 500, 5, 0], [0, 0, 0, 0]], [100, 0]],
    ["both ask for all", [[0, 500, 5, 1], [0, 500, 5, 0]], [50, 50]],
    ["one needs little", [[0, 10, 5, 0], [0, 500, 5, 0]], [10, 90]],
    ["one runs all", [[100, 50, 5, 0], [0, 50, 5, 9]], [50, 0]],
    // What does not fit beside the others is held for 2 s of each 4 s.
    ["one is wide", [[60, 500, 5, 9], [0, 80, 80, 1_900]], [20, 0]],
    ["one has been wide for long", [
      [60, 500, 5, 9],
      [0, 80, 80, 2_100],
    ], [100, 0]],
  ])("shares a cap if %s", (_, demands, shares) => {
    const divided = divideCap(
      { cpu: 100, memoryMb: Infinity, accelerators: Infinity },
      demands.map((demand, partition) => demandOf(partition, demand)),
    );
    expect(demands.map((_, partition) => divided.get(partition)!.cpu))
      .toEqual(shares);
    expect(divided.get(0)!.memoryMb).toBe(Infinity);
  });
});

// Guards against a new broker that lends what owners have which it does not
// know of yet, as it has not read the layout.
test("createCapLedger lends nothing before all owners are heard", () => {
  const ledger = createCapLedger();
  const plan = (partitions: number[]) => [...ledger.plan({
    cap: cpuOf(100),
    highestCap: cpuOf(100),
    partitions: new Set(partitions),
    isReachable: () => true,
  })];
  const use = { ...demandOf(0, [0, 50, 5, 100]), limit: NOTHING };
  expect(plan([])).toEqual([]);
  ledger.hear(0, use);
  expect(plan([0, 1])).toEqual([]);
  ledger.hear(1, { ...use, mayRun: cpuOf(60), limit: cpuOf(60) });
  expect(plan([0, 1])).toContainEqual([0, cpuOf(40)]);
});

// Guards against a cap that no task, or any task, is within.
test.each<[string, number, number | undefined]>([
  ["none", 0, undefined],
  ["negative", -5, undefined],
  ["fractional", 0.5, 0.5],
  ["enormous", 1e300, 1e300],
  ["not a number", NaN, undefined],
])("createOrganisationCaps takes a cap that is %s", (_, cpu, expected) => {
  const caps = createOrganisationCaps(() => ({
    ...createConfiguration(),
    organisations: [
      { name: "northwind", apiKeys: [], weight: 1, cap: cpuOf(cpu) },
    ],
  }));
  expect(caps.capOf("northwind")?.cpu).toBe(expected);
  expect(caps.hasCaps()).toBe(expected !== undefined);
  expect(caps.capOf("contoso")).toBeUndefined();
});

describe("createOrganisationLimits", () => {
  const message = {
    brokerEpoch: 5,
    sequence: 1,
    ownerEpoch: 7,
    limits: new Map([["northwind", cpuOf(30)]]),
  };

  // Guards against limits that were lent to others in the meantime.
  test.each([
    { does: "takes a limit", fields: {}, isTaken: true, limit: 30 },
    {
      does: "ignores limits of an earlier owner",
      fields: { ownerEpoch: 6 },
      isTaken: true,
      limit: 10,
    },
    {
      does: "refuses an earlier broker",
      fields: { brokerEpoch: 3, sequence: 9 },
      isTaken: false,
      limit: 10,
    },
    {
      does: "refuses an earlier message",
      fields: { brokerEpoch: 4, sequence: 1 },
      isTaken: false,
      limit: 10,
    },
  ])("$does", ({ fields, isTaken, limit }) => {
    const limits = createOrganisationLimits({
      epoch: 7,
      capOvershoot: 0.1,
      partitionCount: () => 10,
    });
    limits.apply({ ...message, brokerEpoch: 4, sequence: 2, ownerEpoch: 0 });
    expect(limits.apply({ ...message, ...fields })).toBe(isTaken);
    // A tenth of the part by which the cap may be exceeded.
    expect(limits.limitOf("northwind", cpuOf(1_000)).cpu).toBe(limit);
  });
});

test("messages between members keep limits and uses", () => {
  const unlimited = { cpu: 1_500, memoryMb: Infinity, accelerators: 0 };
  const message = {
    brokerEpoch: 5,
    sequence: 2,
    ownerEpoch: 7,
    limits: new Map([["northwind", unlimited]]),
  };
  const request = create(LimitRequestSchema, encodeLimits(3, message));
  expect(decodeLimits(request)).toEqual(message);
  const { size } = createStep();
  const answer = {
    ownerEpoch: 7,
    isOutdated: false,
    uses: new Map([["northwind", {
      mayRun: size,
      waiting: plus(size, size),
      unit: size,
      waitedMs: 40,
      limit: unlimited,
    }]]),
  };
  const response = create(LimitResponseSchema, encodeAnswer(answer));
  expect(decodeAnswer(response)).toEqual(answer);
  const none = create(LimitResponseSchema, encodeAnswer(undefined));
  expect(decodeAnswer(none)).toBeUndefined();
});
