import { describe, expect, test } from "@jest/globals";
import { ControlRecord, type LogRecord } from "@lagoonloom/records";
import { createFleetSet } from "@lagoonloom/standins/fleet";
import fc from "fast-check";
import { applyRecord } from "./apply_record.ts";
import { decodeCheckpoint, encodeCheckpoint } from "./encode_checkpoint.ts";
import { emptyFleetState, type FleetState } from "./fleet_state.ts";

const SEED = 23;
const set = createFleetSet({
  dataCentres: [{ name: "detroit", region: "great-lakes" }],
  pools: { orders: 4, spare: 2 },
  sparePool: "spare",
  minAvailablePercent: 50,
  maxOutPerRack: 4,
  cores: 16,
  memoryGb: 32,
  waves: { kernel: {} },
});

const one = (...names: string[]) => fc.constantFrom(...names);
const text = one("test", "");
const size = fc.constantFrom(
  { cores: 1, memory_gb: 1, accelerators: 0 },
  { cores: 16, memory_gb: 64, accelerators: 1 },
);
const low = fc.constantFrom(0, 0, 1, 2);
const term = {
  scope: one("detroit", "detroit", "detroit", "cleveland"),
  epoch: fc.constantFrom(1, 1, 1, 0, 2),
};
const host = one("orders-1", "orders-2", "spare-1", "spare-2", "ghost");
const held = { host, generation: low, reason: text };
const member = {
  member: one("e1", "e2", "e3"),
  incarnation: one("i1", "i2"),
};
const job = one("j1", "j2", "constructor");
const change = fc.constantFrom<unknown>(
  { put: { pools: { extra: {} } }, removed: [] },
  { put: {}, removed: [{ kind: "hosts", name: "spare-2" }] },
  { put: { hosts: set.hosts }, removed: [] },
  { put: { waves: { kernel: { ...set.waves["kernel"], state: "paused" } } } },
);

/** Fields by type; small domains make many preconditions hold. */
const FIELDS: Record<string, Record<string, fc.Arbitrary<unknown>>> = {
  "set.changed": {
    expectedVersion: fc.constantFrom(1, 1, 2, 3),
    change,
    operator: text,
  },
  "member.joined": {
    ...member,
    dataCentre: one("detroit", "cleveland"),
    peerAddress: text,
    operatorAddress: text,
  },
  "member.left": member,
  "member.lost": { ...member, watcher: one("e1", "e2", "e3") },
  "member.watched": { ...member, watcher: one("e1", "e2", "e3") },
  "decider.claimed": {
    ...term,
    holder: one("e1", "e2"),
    incarnation: one("i1", "i2"),
    leaseMs: fc.constantFrom(20_000, 600_000, 600_000, 600_000),
  },
  "permit.granted": {
    ...term,
    ...held,
    purpose: one("drain", "reboot", "move", "move"),
    wave: fc.constantFrom(undefined, undefined, "kernel"),
    to: fc.constantFrom(undefined, "orders", "spare"),
  },
  "permit.returned": { ...term, ...held, outcome: one("done", "abandoned") },
  "host.observed": {
    ...held,
    health: one("in-service", "failed", "silent", "replaced"),
  },
  "move.advanced": {
    ...term,
    ...held,
    to: one("orders", "spare"),
    step: one("started", "emptied", "finished", "abandoned"),
  },
  "wave.changed": {
    ...term,
    wave: one("kernel", "none"),
    state: one("running", "paused", "finished"),
    reason: text,
  },
  "job.submitted": {
    job,
    team: one("team-1", "none"),
    urgency: one("urgent", "normal", "deferrable"),
    declared: size,
    declaredRunS: fc.constant(1),
  },
  "job.placed": {
    ...term,
    job,
    attempt: low,
    worker: one("orders-1", "orders-2"),
    leaseMs: fc.constant(1_000),
    reason: text,
  },
  "job.ended": {
    job,
    attempt: low,
    outcome: one("succeeded", "failed", "preempted", "lost"),
    term: fc.option(fc.record(term), { nil: undefined }),
    used: fc.option(size, { nil: undefined }),
    reason: text,
  },
  "job.cancelled": { job, operator: text },
  "job.parked": { ...term, job, reason: text },
  "worker.changed": {
    ...term,
    worker: host,
    state: one("suspended", "trial", "restored"),
    reason: text,
  },
  "checkpoint": {
    offset: fc.nat(8),
    chunk: low,
    chunks: fc.constantFrom(1, 2),
    data: text,
  },
};

const Body = fc.oneof(
  ...Object.entries(FIELDS).map(([type, fields]) =>
    fc.record({ type: fc.constant(type), ...fields })
  ),
) as fc.Arbitrary<Record<string, unknown>>;

const DECIDER = { scope: "detroit", epoch: 1, reason: "" };
const SPARE = { ...DECIDER, host: "spare-1", generation: 0, to: "orders" };
const E1 = { member: "e1", incarnation: "i1", watcher: "e2" };
const J1 = { job: "j1", attempt: 1, reason: "" };

/** Sequences that random records rarely form, each in its order. */
const CHAINS: Record<string, unknown>[][] = [
  [
    { type: "permit.granted", ...SPARE, purpose: "move" },
    ...["started", "emptied", "finished"]
      .map((step) => ({ type: "move.advanced", ...SPARE, step })),
  ],
  [
    {
      type: "job.submitted",
      job: "j1",
      team: "team-1",
      urgency: "normal",
      declared: { cores: 1, memory_gb: 1, accelerators: 0 },
      declaredRunS: 1,
    },
    {
      type: "job.placed",
      ...DECIDER,
      ...J1,
      worker: "orders-1",
      leaseMs: 1_000,
    },
    { type: "job.ended", ...J1, outcome: "failed" },
  ],
  [
    {
      type: "member.joined",
      member: "e2",
      incarnation: "i1",
      dataCentre: "detroit",
      peerAddress: "",
      operatorAddress: "",
    },
    { type: "member.watched", ...E1 },
    { type: "member.lost", ...E1 },
  ],
];
const Bodies = fc.array(
  fc.oneof(
    { weight: 12, arbitrary: Body.map((body) => [body]) },
    { weight: 1, arbitrary: fc.constantFrom(...CHAINS) },
  ),
  { minLength: 1, maxLength: 40, size: "max" },
).map((parts) => parts.flat());

/** Bodies with a field missing, added or of another value, or other JSON. */
const Malformed = fc.oneof(
  fc.jsonValue(),
  fc.tuple(Body, fc.nat(12), fc.jsonValue(), one("drop", "put", "add"))
    .map(([body, index, value, fault]) => {
      const key = Object.keys(body)[index % Object.keys(body).length]!;
      if (fault !== "drop") {
        return { ...body, [fault === "put" ? key : "other"]: value };
      }
      const entries = Object.entries(body).filter(([name]) => name !== key);
      return Object.fromEntries(entries);
    }),
).filter((body) => !ControlRecord.safeParse(body).success);

function createState(): FleetState {
  const state = emptyFleetState();
  const bodies = [
    {
      type: "set.changed",
      expectedVersion: 0,
      change: { put: set, removed: [] },
      operator: "ana",
    },
    {
      type: "member.joined",
      member: "e1",
      incarnation: "i1",
      dataCentre: "detroit",
      peerAddress: "",
      operatorAddress: "",
    },
    {
      type: "decider.claimed",
      scope: "detroit",
      epoch: 1,
      holder: "e1",
      incarnation: "i1",
      leaseMs: 600_000,
    },
  ];
  for (const body of bodies) append(state, body);
  return state;
}

function recordOf(state: FleetState, body: unknown): LogRecord {
  const offset = state.nextOffset;
  return { offset, timeMs: 1_000 * offset, id: `r${offset}`, body };
}

function append(state: FleetState, body: unknown) {
  return applyRecord(state, recordOf(state, body));
}

/** State apart from what every record changes. */
function core(state: FleetState): unknown {
  const fields = JSON.parse(encodeCheckpoint(state).join(""));
  return { ...fields, nextOffset: 0, timeMs: 0, outcomes: [] };
}

const parameters = { seed: SEED, numRuns: 80 };

describe("applyRecord with generated records", () => {
  // Guards against state that a checkpoint loses, and against derived state
  // that differs after it.
  test("folds a checkpoint and the tail to the state of all records", () => {
    const applied = new Set<string>();
    fc.assert(
      fc.property(Bodies, fc.nat(60), (bodies, cut) => {
        const whole = createState();
        let resumed = createState();
        for (const [index, body] of bodies.entries()) {
          if (index === cut % bodies.length) {
            resumed = decodeCheckpoint(encodeCheckpoint(resumed));
          }
          const outcome = append(whole, body);
          if (outcome.type === "applied") applied.add(String(body["type"]));
          expect(append(resumed, body)).toEqual(outcome);
        }
        expect(encodeCheckpoint(resumed)).toEqual(encodeCheckpoint(whole));
        for (
          const field of [
            "hostsByPool",
            "incomingByPool",
            "usageByTeam",
          ] as const
        ) {
          expect(resumed[field]).toEqual(whole[field]);
        }
      }),
      parameters,
    );
    // A type that never took effect would not be tested.
    expect([...applied].sort()).toEqual(Object.keys(FIELDS).sort());
  });

  // Guards against a record that takes effect in part or stops the daemon.
  test("refuses malformed records and changes nothing", () => {
    fc.assert(
      fc.property(Bodies, Malformed, (bodies, malformed) => {
        const state = createState();
        for (const body of bodies) append(state, body);
        const before = core(state);
        expect(append(state, malformed).type).toBe("refused");
        expect(core(state)).toEqual(before);
      }),
      parameters,
    );
  });

  test("changes nothing with a record that it refuses", () => {
    fc.assert(
      fc.property(Bodies, (bodies) => {
        const state = createState();
        for (const body of bodies) {
          const before = core(state);
          if (append(state, body).type === "applied") continue;
          expect(core(state)).toEqual(before);
        }
      }),
      { ...parameters, numRuns: 20 },
    );
  });

  // Guards against a second effect of a record that the log holds twice, or
  // that is delivered again, at any time while its id is remembered.
  test("gives a record that is delivered again no second effect", () => {
    fc.assert(
      fc.property(Bodies, fc.infiniteStream(fc.nat(1_000)), (bodies, picks) => {
        const state = createState();
        const sent: LogRecord[] = [];
        for (const body of bodies) {
          const record = recordOf(state, body);
          applyRecord(state, record);
          sent.push(record);
          const before = core(state);
          const again = sent[picks.next().value! % sent.length]!;
          const later = { ...recordOf(state, again.body), id: again.id };
          expect(applyRecord(state, again).type).toBe("duplicate");
          expect(applyRecord(state, later).type).toBe("duplicate");
          expect(core(state)).toEqual(before);
        }
      }),
      { ...parameters, numRuns: 20 },
    );
  });
});
