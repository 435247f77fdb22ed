/**
 * Tests of records on hosts, jobs and deciders, and of checkpoints.
 *
 * @module
 */

import { describe, expect, test } from "@jest/globals";
import { createFleetSet } from "@lagoonloom/standins/fleet";
import { explainHost, explainService, explainWave } from "../explain/mod.ts";
import { applyRecord } from "./apply_record.ts";
import { decodeCheckpoint, encodeCheckpoint } from "./encode_checkpoint.ts";
import { emptyFleetState, type FleetState } from "./fleet_state.ts";

const term = { scope: "detroit", epoch: 1 };
const reason = "test";

function createState(): FleetState {
  const state = emptyFleetState();
  const put = createFleetSet({
    dataCentres: [{ name: "detroit", region: "great-lakes" }],
    pools: { orders: 4, spare: 2 },
    sparePool: "spare",
    minAvailablePercent: 50,
    maxOutPerRack: 4,
    cores: 16,
    memoryGb: 32,
    waves: { kernel: {} },
  });
  append(state, createSetChange({ put }));
  append(state, {
    type: "member.joined",
    member: "e1",
    incarnation: "i1",
    dataCentre: "detroit",
    peerAddress: "",
    operatorAddress: "",
  });
  const leaseMs = 600_000;
  append(state, {
    type: "decider.claimed",
    ...term,
    holder: "e1",
    incarnation: "i1",
    leaseMs,
  });
  return state;
}

function createSetChange(
  { put = {}, removed = [] as unknown[], expectedVersion = 0 },
): object {
  const operator = "ana";
  const change = { put, removed };
  return { type: "set.changed", expectedVersion, change, operator };
}

function append(state: FleetState, body: unknown): string {
  const offset = state.nextOffset;
  const record = { offset, timeMs: 1_000 * offset, id: `r${offset}`, body };
  return applyRecord(state, record).type;
}

const grantPermit = (host: string, generation = 0, fields: object = {}) => ({
  type: "permit.granted",
  ...term,
  host,
  generation,
  purpose: "reboot",
  reason,
  ...fields,
});
const returnPermit = (host: string, generation: number) => ({
  type: "permit.returned",
  ...term,
  host,
  generation,
  outcome: "done",
  reason,
});
const advanceMove = (step: string, generation = 0) => ({
  type: "move.advanced",
  ...term,
  host: "spare-1",
  generation,
  to: "orders",
  step,
  reason,
});
const observeHost = (host: string, generation: number, health: string) => ({
  type: "host.observed",
  host,
  generation,
  health,
  reason,
});
const moveToOrders = { purpose: "move", to: "orders" };
const removeHost = (name: string, expectedVersion = 1) =>
  createSetChange({ removed: [{ kind: "hosts", name }], expectedVersion });
const placeJob = (attempt: number, worker = "orders-1") => ({
  type: "job.placed",
  ...term,
  job: "j1",
  attempt,
  worker,
  leaseMs: 1_000,
  reason,
});
const jobSubmission = {
  type: "job.submitted",
  job: "j1",
  team: "team-1",
  urgency: "normal",
  declared: { cores: 1, memory_gb: 1, accelerators: 0 },
  declaredRunS: 1,
};
const endJob = (attempt: number, outcome: string) => ({
  type: "job.ended",
  job: "j1",
  attempt,
  outcome,
  reason,
});
const jobCancellation = { type: "job.cancelled", job: "j1", operator: "ana" };
const changeWorker = (state: string) => ({
  type: "worker.changed",
  ...term,
  worker: "orders-1",
  state,
  reason,
});

const oneOutPerRackBudget = {
  orders: { service: "orders", min_available: 1, max_out_per_rack: 1 },
};

/** Body of a record, and whether it takes effect. */
type Step = [body: unknown, isApplied: boolean];

describe("applyRecord", () => {
  // Each case guards against a record that takes effect although the state that
  // it was written for has changed.
  test.each<[string, Step[]]>([
    ["counts permits and failed hosts against the budget", [
      [grantPermit("orders-1"), true],
      [grantPermit("orders-1"), false],
      [observeHost("orders-2", 0, "failed"), true],
      [grantPermit("orders-3"), false],
      [observeHost("orders-2", 0, "in-service"), true],
      [grantPermit("orders-3"), true],
      [grantPermit("orders-4"), false],
    ]],
    ["enforces the limit on hosts out in a rack", [
      [
        createSetChange({
          put: { budgets: oneOutPerRackBudget },
          expectedVersion: 1,
        }),
        true,
      ],
      [grantPermit("orders-1"), true],
      [grantPermit("orders-2"), false],
    ]],
    ["refuses permits that would violate a budget on their own", [
      [observeHost("orders-1", 0, "silent"), true],
      [grantPermit("orders-2"), true],
      [grantPermit("orders-1"), true],
      [observeHost("orders-3", 0, "silent"), true],
      [grantPermit("orders-3"), false],
    ]],
    ["counts a host that moves in against the budget of its target", [
      [grantPermit("spare-1", 0, moveToOrders), true],
      [advanceMove("started"), true],
      [grantPermit("orders-1"), true],
      [grantPermit("orders-2"), false],
    ]],
    ["refuses records of a generation whose permit was returned", [
      [grantPermit("orders-1"), true],
      [returnPermit("orders-1", 0), true],
      [returnPermit("orders-1", 0), false],
      [grantPermit("orders-1", 0), false],
      [grantPermit("orders-1", 1), true],
    ]],
    ["changes the owner after all steps of a move in order", [
      [advanceMove("started"), false],
      [grantPermit("spare-1", 0, moveToOrders), true],
      [advanceMove("finished"), false],
      [advanceMove("started"), true],
      [advanceMove("finished"), false],
      [advanceMove("emptied"), true],
      [returnPermit("spare-1", 0), false],
      [advanceMove("finished"), true],
      [advanceMove("finished"), false],
      [returnPermit("spare-1", 1), true],
    ]],
    ["refuses records of a replaced host", [
      [grantPermit("orders-1"), true],
      [observeHost("orders-1", 0, "replaced"), true],
      [returnPermit("orders-1", 0), false],
      [grantPermit("orders-1", 0), false],
      [observeHost("orders-1", 1, "in-service"), true],
      [grantPermit("orders-1", 1), true],
    ]],
    ["refuses records of a removed host after it is added again", [
      [grantPermit("orders-1"), true],
      [removeHost("orders-1"), true],
      [returnPermit("orders-1", 0), false],
      [
        createSetChange({
          put: { hosts: createState().set.hosts },
          expectedVersion: 2,
        }),
        true,
      ],
      [grantPermit("orders-1", 0), false],
      [grantPermit("orders-1", 1), true],
    ]],
    ["refuses to remove hosts that a budget needs", [
      [grantPermit("orders-1"), true],
      [grantPermit("orders-2"), true],
      [removeHost("orders-3"), false],
      [returnPermit("orders-1", 0), true],
      [removeHost("orders-3"), true],
    ]],
    ["refuses to remove a pool that owns hosts", [
      [
        createSetChange({
          removed: [{ kind: "pools", name: "spare" }],
          expectedVersion: 1,
        }),
        false,
      ],
    ]],
    ["refuses records of attempts that are not current", [
      [{ ...jobSubmission, team: "constructor" }, false],
      [jobSubmission, true],
      [jobSubmission, false],
      [placeJob(2), false],
      [placeJob(1), true],
      [placeJob(2), false],
      [endJob(1, "failed"), true],
      [endJob(1, "failed"), false],
      [placeJob(2, "orders-2"), true],
      [endJob(1, "succeeded"), false],
      [endJob(2, "succeeded"), true],
      [jobCancellation, false],
    ]],
    ["refuses to place a cancelled job", [
      [jobSubmission, true],
      [jobCancellation, true],
      [placeJob(1), false],
      [jobSubmission, false],
    ]],
    ["refuses to place jobs on a suspended or leaving worker", [
      [jobSubmission, true],
      [changeWorker("suspended"), true],
      [changeWorker("suspended"), false],
      [placeJob(1), false],
      [changeWorker("trial"), true],
      [grantPermit("orders-1"), true],
      [placeJob(1), false],
      [placeJob(1, "orders-2"), true],
    ]],
  ])("%s", (_title, steps) => {
    const state = createState();
    for (const [index, [body, isApplied]] of steps.entries()) {
      const copy = decodeCheckpoint(encodeCheckpoint(state));
      const outcome = append(state, body);
      expect([index, outcome]).toEqual([
        index,
        isApplied ? "applied" : "refused",
      ]);
      // A daemon that starts from a checkpoint folds the same state.
      append(copy, body);
      expect(encodeCheckpoint(copy)).toEqual(encodeCheckpoint(state));
      expect(copy.hostsByPool).toEqual(state.hostsByPool);
      expect(copy.incomingByPool).toEqual(state.incomingByPool);
    }
  });
});

describe("encodeCheckpoint", () => {
  // Guards against checkpoints that differ between daemons with equal states.
  test("does not depend on the order in which objects were added", () => {
    const { hosts, ...others } = createState().set;
    const encodings = [Object.entries(hosts), Object.entries(hosts).reverse()]
      .map((entries) => {
        const state = emptyFleetState();
        const put = { ...others, hosts: Object.fromEntries(entries) };
        expect(append(state, createSetChange({ put }))).toBe("applied");
        state.history = [];
        return encodeCheckpoint(state);
      });
    expect(encodings[0]).toEqual(encodings[1]);
  });
});

describe("a decider's lease", () => {
  // Guards against records of a daemon that was paused beyond its lease.
  test("ends by log time and fences older epochs", () => {
    const state = createState();
    const at = (timeMs: number, body: object) => {
      const offset = state.nextOffset;
      const record = { offset, timeMs, id: `r${offset}`, body };
      return applyRecord(state, record).type;
    };
    const claim = (epoch: number) => ({
      type: "decider.claimed",
      scope: "detroit",
      holder: "e1",
      incarnation: "i1",
      epoch,
      leaseMs: 10_000,
    });
    const endMs = 2_000 + 600_000;
    expect([
      at(endMs - 1, claim(2)),
      at(endMs - 1, grantPermit("orders-1")),
      at(endMs, grantPermit("orders-2")),
      at(endMs, claim(1)),
      at(endMs, claim(2)),
      at(endMs, grantPermit("orders-2")),
      at(endMs, grantPermit("orders-2", 0, { epoch: 2 })),
      at(endMs, grantPermit("spare-1", 0, { epoch: 2, scope: "cleveland" })),
      at(endMs + 9_000, claim(2)),
      at(endMs + 18_999, grantPermit("spare-1", 0, { epoch: 2 })),
      at(endMs + 19_000, grantPermit("spare-2", 0, { epoch: 2 })),
    ]).toEqual([
      "refused",
      "applied",
      "refused",
      "refused",
      "applied",
      "refused",
      "applied",
      "refused",
      "applied",
      "applied",
      "refused",
    ]);
  });
});

describe("explain", () => {
  // Guards against an answer that leaves out what the object waits for.
  test("states what a host, a wave and a service wait for", () => {
    const state = createState();
    append(state, grantPermit("orders-1"));
    append(state, grantPermit("orders-2"));
    const text = [
      explainHost(state, "orders-1"),
      explainHost(state, "orders-3"),
      explainHost(state, "other"),
      explainWave(state, "kernel"),
      explainService(state, "orders"),
    ].flatMap((answer) => answer.sentences).join("\n");
    for (
      const part of [
        "out with a permit to reboot",
        "waits until no request is in progress",
        `cannot be taken out now: Budget "orders" demands 2`,
        `has no host "other"`,
        "begins in the next round",
        "No more hosts may be out",
      ]
    ) {
      expect(text).toContain(part);
    }
  });
});
