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
  append(state, change({ put }));
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

function change(
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

const permit = (host: string, generation = 0, fields: object = {}) => ({
  type: "permit.granted",
  ...term,
  host,
  generation,
  purpose: "reboot",
  reason,
  ...fields,
});
const back = (host: string, generation: number) => ({
  type: "permit.returned",
  ...term,
  host,
  generation,
  outcome: "done",
  reason,
});
const move = (step: string, generation = 0) => ({
  type: "move.advanced",
  ...term,
  host: "spare-1",
  generation,
  to: "orders",
  step,
  reason,
});
const seen = (host: string, generation: number, health: string) => ({
  type: "host.observed",
  host,
  generation,
  health,
  reason,
});
const toMove = { purpose: "move", to: "orders" };
const remove = (name: string, expectedVersion = 1) =>
  change({ removed: [{ kind: "hosts", name }], expectedVersion });
const placed = (attempt: number, worker = "orders-1") => ({
  type: "job.placed",
  ...term,
  job: "j1",
  attempt,
  worker,
  leaseMs: 1_000,
  reason,
});
const submitted = {
  type: "job.submitted",
  job: "j1",
  team: "team-1",
  urgency: "normal",
  declared: { cores: 1, memory_gb: 1, accelerators: 0 },
  declaredRunS: 1,
};
const ended = (attempt: number, outcome: string) => ({
  type: "job.ended",
  job: "j1",
  attempt,
  outcome,
  reason,
});
const cancelled = { type: "job.cancelled", job: "j1", operator: "ana" };
const worker = (state: string) => ({
  type: "worker.changed",
  ...term,
  worker: "orders-1",
  state,
  reason,
});

const onePerRack = {
  orders: { service: "orders", min_available: 1, max_out_per_rack: 1 },
};

type Step = [body: unknown, applied: boolean];

describe("applyRecord", () => {
  // Each table guards against a record that takes effect after the state it was
  // written for has gone.
  test.each<[string, Step[]]>([
    ["counts permits and failures against the budget", [
      [permit("orders-1"), true],
      [permit("orders-1"), false],
      [seen("orders-2", 0, "failed"), true],
      [permit("orders-3"), false],
      [seen("orders-2", 0, "in-service"), true],
      [permit("orders-3"), true],
      [permit("orders-4"), false],
    ]],
    ["keeps the limit of a rack", [
      [change({ put: { budgets: onePerRack }, expectedVersion: 1 }), true],
      [permit("orders-1"), true],
      [permit("orders-2"), false],
    ]],
    ["lets planned stops alone break no budget", [
      [seen("orders-1", 0, "silent"), true],
      [permit("orders-2"), true],
      [permit("orders-1"), true],
      [seen("orders-3", 0, "silent"), true],
      [permit("orders-3"), false],
    ]],
    ["keeps the places that an open move needs", [
      [permit("spare-1", 0, toMove), true],
      [move("started"), true],
      [permit("orders-1"), true],
      [permit("orders-2"), false],
    ]],
    ["fences a returned permit by its generation", [
      [permit("orders-1"), true],
      [back("orders-1", 0), true],
      [back("orders-1", 0), false],
      [permit("orders-1", 0), false],
      [permit("orders-1", 1), true],
    ]],
    ["changes the owner after the steps in their order", [
      [move("started"), false],
      [permit("spare-1", 0, toMove), true],
      [move("finished"), false],
      [move("started"), true],
      [move("finished"), false],
      [move("emptied"), true],
      [back("spare-1", 0), false],
      [move("finished"), true],
      [move("finished"), false],
      [back("spare-1", 1), true],
    ]],
    ["fences a replaced host", [
      [permit("orders-1"), true],
      [seen("orders-1", 0, "replaced"), true],
      [back("orders-1", 0), false],
      [permit("orders-1", 0), false],
      [seen("orders-1", 1, "in-service"), true],
      [permit("orders-1", 1), true],
    ]],
    ["fences a removed host that is added again", [
      [permit("orders-1"), true],
      [remove("orders-1"), true],
      [back("orders-1", 0), false],
      [
        change({
          put: { hosts: createState().set.hosts },
          expectedVersion: 2,
        }),
        true,
      ],
      [permit("orders-1", 0), false],
      [permit("orders-1", 1), true],
    ]],
    ["refuses to remove hosts that a budget needs", [
      [permit("orders-1"), true],
      [permit("orders-2"), true],
      [remove("orders-3"), false],
      [back("orders-1", 0), true],
      [remove("orders-3"), true],
    ]],
    ["refuses to remove a pool that owns hosts", [
      [
        change({
          removed: [{ kind: "pools", name: "spare" }],
          expectedVersion: 1,
        }),
        false,
      ],
    ]],
    ["fences attempts of a job", [
      [{ ...submitted, team: "constructor" }, false],
      [submitted, true],
      [submitted, false],
      [placed(2), false],
      [placed(1), true],
      [placed(2), false],
      [ended(1, "failed"), true],
      [ended(1, "failed"), false],
      [placed(2, "orders-2"), true],
      [ended(1, "succeeded"), false],
      [ended(2, "succeeded"), true],
      [cancelled, false],
    ]],
    ["never starts a cancelled job", [
      [submitted, true],
      [cancelled, true],
      [placed(1), false],
      [submitted, false],
    ]],
    ["places nothing on a suspended or leaving worker", [
      [submitted, true],
      [worker("suspended"), true],
      [worker("suspended"), false],
      [placed(1), false],
      [worker("trial"), true],
      [permit("orders-1"), true],
      [placed(1), false],
      [placed(1, "orders-2"), true],
    ]],
  ])("%s", (_name, steps) => {
    const state = createState();
    for (const [index, [body, applied]] of steps.entries()) {
      const copy = decodeCheckpoint(encodeCheckpoint(state));
      const outcome = append(state, body);
      expect([index, outcome]).toEqual([
        index,
        applied ? "applied" : "refused",
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
        expect(append(state, change({ put }))).toBe("applied");
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
      at(endMs - 1, permit("orders-1")),
      at(endMs, permit("orders-2")),
      at(endMs, claim(1)),
      at(endMs, claim(2)),
      at(endMs, permit("orders-2")),
      at(endMs, permit("orders-2", 0, { epoch: 2 })),
      at(endMs, permit("spare-1", 0, { epoch: 2, scope: "cleveland" })),
      at(endMs + 9_000, claim(2)),
      at(endMs + 18_999, permit("spare-1", 0, { epoch: 2 })),
      at(endMs + 19_000, permit("spare-2", 0, { epoch: 2 })),
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
  test("says what a host, wave and service wait for", () => {
    const state = createState();
    append(state, permit("orders-1"));
    append(state, permit("orders-2"));
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
