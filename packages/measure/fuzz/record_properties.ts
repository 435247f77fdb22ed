/**
 * Fuzz properties of applying the records of the log.
 *
 * @module
 */

import {
  advanceClaims,
  applyRecord,
  createClaims,
  emptyFleetState,
  encodeCheckpoint,
  type FleetState,
} from "@lagoonloom/decisions";
import { ClaimRecord } from "@lagoonloom/records";
import { createTestFleet } from "@lagoonloom/standins";
import fc from "fast-check";
import { isDeepStrictEqual } from "node:util";
import type { FuzzProperty } from "./fuzz_property.ts";
import { mutatedValues } from "./mutated_input.ts";

const TERM = { scope: "detroit", epoch: 1 };
const HOST = { host: "quoting-1", generation: 0 };
const MEMBER = { member: "e1", incarnation: "i1" };
const reason = "fuzz";
const SIZE = { cores: 1, memory_gb: 1, accelerators: 0 };

/**
 * Valid records of all types except checkpoints, in an order in which most take
 * effect.
 */
const RECORDS: readonly object[] = [
  {
    type: "set.changed",
    expectedVersion: 0,
    change: { put: createTestFleet(), removed: [] },
    operator: "ada",
  },
  {
    type: "member.joined",
    ...MEMBER,
    dataCentre: "detroit",
    peerAddress: "127.0.0.1:1",
    operatorAddress: "127.0.0.1:2",
  },
  { type: "member.watched", ...MEMBER, watcher: "e1" },
  { type: "member.lost", ...MEMBER, watcher: "e1" },
  { type: "member.left", ...MEMBER },
  {
    type: "decider.claimed",
    ...TERM,
    holder: "e1",
    incarnation: "i1",
    leaseMs: 600_000,
  },
  { type: "permit.granted", ...TERM, ...HOST, purpose: "drain", reason },
  { type: "move.advanced", ...TERM, ...HOST, to: "a", step: "started", reason },
  { type: "permit.returned", ...TERM, ...HOST, outcome: "done", reason },
  { type: "host.observed", ...HOST, health: "failed", reason },
  { type: "wave.changed", ...TERM, wave: "w", state: "running", reason },
  {
    type: "job.submitted",
    job: "j1",
    team: "a",
    urgency: "urgent",
    declared: SIZE,
    declaredRunS: 1,
  },
  {
    type: "job.placed",
    ...TERM,
    job: "j1",
    attempt: 1,
    worker: "quoting-1",
    leaseMs: 1,
    reason,
  },
  { type: "job.ended", job: "j1", attempt: 1, outcome: "failed", reason },
  { type: "job.parked", ...TERM, job: "j1", reason },
  { type: "job.cancelled", job: "j1", operator: "ada" },
  {
    type: "worker.changed",
    ...TERM,
    worker: "quoting-1",
    state: "suspended",
    reason,
  },
];

/** Copies a state without the fields that every record changes. */
function withoutBookkeeping(state: FleetState): object {
  const bookkeeping = { nextOffset: 0, timeMs: 0, outcomes: new Map() };
  return structuredClone({ ...state, ...bookkeeping });
}

function expectRefusedWithoutEffect(bodies: readonly unknown[]): void {
  const state = emptyFleetState();
  for (const [offset, body] of bodies.entries()) {
    const before = withoutBookkeeping(state);
    const record = { offset, timeMs: offset, id: `r${offset % 50}`, body };
    const { type } = applyRecord(state, record);
    if (type === "applied") continue;
    if (!isDeepStrictEqual(withoutBookkeeping(state), before)) {
      throw new Error(
        `The record at offset ${offset} was ${type} but changed the state.`,
      );
    }
  }
  encodeCheckpoint(state);
}

const CLAIMS = {
  holder: "e1",
  incarnation: "i1",
  entries: [
    { type: "claimed", key: "k".repeat(22), request: "r".repeat(22) },
    { type: "completed", key: "k".repeat(22), answerOffset: 1 },
    { type: "released", key: "k".repeat(22) },
  ],
};

/** Properties of applying the records of the log's streams. */
export const RECORD_PROPERTIES: readonly FuzzProperty[] = [
  {
    // A refused or duplicate record does not change the state.
    name: "control-records",
    async check(run) {
      const any = fc.oneof(
        ...RECORDS.map((body) => mutatedValues(body)),
        ...RECORDS.map((body) => fc.constant(body)),
        fc.jsonValue(),
        mutatedValues({ type: "checkpoint", offset: 0, part: 0, parts: 1 }),
      );
      // Half of the sequences begin with a valid set, so that later records can
      // take effect.
      const first = fc.oneof(fc.constant(RECORDS[0]), any);
      const list = fc.tuple(first, fc.array(any, { maxLength: 60 }));
      fc.assert(
        fc.property(
          list,
          ([one, rest]) => expectRefusedWithoutEffect([one, ...rest]),
        ),
        run,
      );
    },
  },
  {
    // Claims of another holder, whole or malformed, make this one send nothing.
    name: "claim-records",
    async check(run) {
      const bodies = fc.array(
        fc.tuple(mutatedValues(CLAIMS), fc.nat(5)),
        { maxLength: 30 },
      );
      fc.assert(
        fc.property(bodies, (list) => {
          const state = createClaims({ member: "e2", incarnation: "i1" });
          for (const [value, number] of list) {
            const body = ClaimRecord.safeParse(value);
            if (!body.success) continue;
            const id = `claims.e1.i1.${number}`;
            const event = { type: "folded", id, timeMs: 0, body: body.data };
            const actions = advanceClaims(state, event as never, 0);
            if (actions.some(({ type }) => type === "send")) {
              throw new Error("The claim of another holder sent a request.");
            }
          }
        }),
        run,
      );
    },
  },
];
