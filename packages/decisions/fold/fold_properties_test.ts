/**
 * Property tests of the fold with generated sequences of records.
 *
 * @module
 */

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

const oneOf = (...names: string[]) => fc.constantFrom(...names);
const text = oneOf("test", "");
const size = fc.constantFrom(
  { cores: 1, memory_gb: 1, accelerators: 0 },
  { cores: 16, memory_gb: 64, accelerators: 1 },
);
const smallNumber = fc.constantFrom(0, 0, 1, 2);
const termFields = {
  scope: oneOf("detroit", "detroit", "detroit", "cleveland"),
  epoch: fc.constantFrom(1, 1, 1, 0, 2),
};
const host = oneOf("orders-1", "orders-2", "spare-1", "spare-2", "unknown");
const hostFields = { host, generation: smallNumber, reason: text };
const memberFields = {
  member: oneOf("e1", "e2", "e3"),
  incarnation: oneOf("i1", "i2"),
};
const job = oneOf("j1", "j2", "constructor");
const change = fc.constantFrom<unknown>(
  { put: { pools: { extra: {} } }, removed: [] },
  { put: {}, removed: [{ kind: "hosts", name: "spare-2" }] },
  { put: { hosts: set.hosts }, removed: [] },
  { put: { waves: { kernel: { ...set.waves["kernel"], state: "paused" } } } },
);

/** Fields by record type, with few values, so that many records take effect. */
const FIELDS: Record<string, Record<string, fc.Arbitrary<unknown>>> = {
  "set.changed": {
    expectedVersion: fc.constantFrom(1, 1, 2, 3),
    change,
    operator: text,
  },
  "member.joined": {
    ...memberFields,
    dataCentre: oneOf("detroit", "cleveland"),
    peerAddress: text,
    operatorAddress: text,
  },
  "member.left": memberFields,
  "member.lost": { ...memberFields, watcher: oneOf("e1", "e2", "e3") },
  "member.watched": { ...memberFields, watcher: oneOf("e1", "e2", "e3") },
  "decider.claimed": {
    ...termFields,
    holder: oneOf("e1", "e2"),
    incarnation: oneOf("i1", "i2"),
    leaseMs: fc.constantFrom(20_000, 600_000, 600_000, 600_000),
  },
  "permit.granted": {
    ...termFields,
    ...hostFields,
    purpose: oneOf("drain", "reboot", "move", "move"),
    wave: fc.constantFrom(undefined, undefined, "kernel"),
    to: fc.constantFrom(undefined, "orders", "spare"),
  },
  "permit.returned": {
    ...termFields,
    ...hostFields,
    outcome: oneOf("done", "abandoned"),
  },
  "host.observed": {
    ...hostFields,
    health: oneOf("in-service", "failed", "silent", "replaced"),
  },
  "move.advanced": {
    ...termFields,
    ...hostFields,
    to: oneOf("orders", "spare"),
    step: oneOf("started", "emptied", "finished", "abandoned"),
  },
  "wave.changed": {
    ...termFields,
    wave: oneOf("kernel", "none"),
    state: oneOf("running", "paused", "finished"),
    reason: text,
  },
  "job.submitted": {
    job,
    team: oneOf("team-1", "none"),
    urgency: oneOf("urgent", "normal", "deferrable"),
    declared: size,
    declaredRunS: fc.constant(1),
  },
  "job.placed": {
    ...termFields,
    job,
    attempt: smallNumber,
    worker: oneOf("orders-1", "orders-2"),
    leaseMs: fc.constant(1_000),
    reason: text,
  },
  "job.ended": {
    job,
    attempt: smallNumber,
    outcome: oneOf("succeeded", "failed", "preempted", "lost"),
    term: fc.option(fc.record(termFields), { nil: undefined }),
    used: fc.option(size, { nil: undefined }),
    reason: text,
  },
  "job.cancelled": { job, operator: text },
  "job.parked": { ...termFields, job, reason: text },
  "worker.changed": {
    ...termFields,
    worker: host,
    state: oneOf("suspended", "trial", "restored"),
    reason: text,
  },
  "checkpoint": {
    offset: fc.nat(8),
    chunk: smallNumber,
    chunks: fc.constantFrom(1, 2),
    data: text,
  },
};

const Body = fc.oneof(
  ...Object.entries(FIELDS).map(([type, fields]) =>
    fc.record({ type: fc.constant(type), ...fields })
  ),
) as fc.Arbitrary<Record<string, unknown>>;

const TERM = { scope: "detroit", epoch: 1, reason: "" };
const SPARE_1 = { ...TERM, host: "spare-1", generation: 0, to: "orders" };
const E1 = { member: "e1", incarnation: "i1", watcher: "e2" };
const J1 = { job: "j1", attempt: 1, reason: "" };

/** Sequences of records that random generation rarely produces in order. */
const SEQUENCES: Record<string, unknown>[][] = [
  [
    { type: "permit.granted", ...SPARE_1, purpose: "move" },
    ...["started", "emptied", "finished"]
      .map((step) => ({ type: "move.advanced", ...SPARE_1, step })),
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
      ...TERM,
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
    { weight: 1, arbitrary: fc.constantFrom(...SEQUENCES) },
  ),
  { minLength: 1, maxLength: 40, size: "max" },
).map((parts) => parts.flat());

/** Bodies with a missing, added or replaced field, and other JSON values. */
const Malformed = fc.oneof(
  fc.jsonValue(),
  fc.tuple(Body, fc.nat(12), fc.jsonValue(), oneOf("drop", "put", "add"))
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

function createRecord(state: FleetState, body: unknown): LogRecord {
  const offset = state.nextOffset;
  return { offset, timeMs: 1_000 * offset, id: `r${offset}`, body };
}

function append(state: FleetState, body: unknown) {
  return applyRecord(state, createRecord(state, body));
}

/** Returns the state without the fields that every record changes. */
function comparableState(state: FleetState): unknown {
  const fields = JSON.parse(encodeCheckpoint(state).join(""));
  return { ...fields, nextOffset: 0, timeMs: 0, outcomes: [] };
}

const options = { seed: SEED, numRuns: 80 };

describe("applyRecord with generated records", () => {
  // Guards against fields that a checkpoint loses, and derived fields that
  // differ after it is decoded.
  test("folds a checkpoint and later records to the same state as all records", () => {
    const applied = new Set<string>();
    fc.assert(
      fc.property(Bodies, fc.nat(60), (bodies, checkpointIndex) => {
        const complete = createState();
        let resumed = createState();
        for (const [index, body] of bodies.entries()) {
          if (index === checkpointIndex % bodies.length) {
            resumed = decodeCheckpoint(encodeCheckpoint(resumed));
          }
          const outcome = append(complete, body);
          if (outcome.type === "applied") applied.add(String(body["type"]));
          expect(append(resumed, body)).toEqual(outcome);
        }
        expect(encodeCheckpoint(resumed)).toEqual(encodeCheckpoint(complete));
        for (
          const field of [
            "hostsByPool",
            "incomingByPool",
            "usageByTeam",
          ] as const
        ) {
          expect(resumed[field]).toEqual(complete[field]);
        }
      }),
      options,
    );
    // A type that never takes effect would not be tested.
    expect([...applied].sort()).toEqual(Object.keys(FIELDS).sort());
  });

  // Guards against a record that takes effect in part or stops the daemon.
  test("refuses malformed records without changing the state", () => {
    fc.assert(
      fc.property(Bodies, Malformed, (bodies, malformed) => {
        const state = createState();
        for (const body of bodies) append(state, body);
        const before = comparableState(state);
        expect(append(state, malformed).type).toBe("refused");
        expect(comparableState(state)).toEqual(before);
      }),
      options,
    );
  });

  test("does not change the state when it refuses a record", () => {
    fc.assert(
      fc.property(Bodies, (bodies) => {
        const state = createState();
        for (const body of bodies) {
          const before = comparableState(state);
          if (append(state, body).type === "applied") continue;
          expect(comparableState(state)).toEqual(before);
        }
      }),
      { ...options, numRuns: 20 },
    );
  });

  // Guards against a second effect of a record that the log contains twice or
  // delivers again while its outcome is kept.
  test("treats a record that is repeated or delivered again as a duplicate", () => {
    fc.assert(
      fc.property(
        Bodies,
        fc.infiniteStream(fc.nat(1_000)),
        (bodies, indexes) => {
          const state = createState();
          const folded: LogRecord[] = [];
          for (const body of bodies) {
            const record = createRecord(state, body);
            applyRecord(state, record);
            folded.push(record);
            const before = comparableState(state);
            const redelivered = folded[indexes.next().value! % folded.length]!;
            const repeated = {
              ...createRecord(state, redelivered.body),
              id: redelivered.id,
            };
            expect(applyRecord(state, redelivered).type).toBe("duplicate");
            expect(applyRecord(state, repeated).type).toBe("duplicate");
            expect(comparableState(state)).toEqual(before);
          }
        },
      ),
      { ...options, numRuns: 20 },
    );
  });
});
