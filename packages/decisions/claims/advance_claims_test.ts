/**
 * Tests of claims of idempotency keys, and of the tables that hold them.
 *
 * @module
 */

import { describe, expect, test } from "@jest/globals";
import fc from "fast-check";
import { ClaimTable } from "./_claim_table.ts";
import { advanceClaims } from "./advance_claims.ts";
import type { ClaimAction } from "./claim_action.ts";
import type { ClaimEvent } from "./claim_event.ts";
import { type ClaimsState, createClaims } from "./claims_state.ts";

const KEYS = ["A", "B"].map((letter) => letter.repeat(22));
const REQUESTS = ["R", "S"].map((letter) => letter.repeat(22));

type Batch = Extract<ClaimAction, { type: "append" }>;

/** Process of an entry host in the model. */
type Holder = {
  member: string;
  incarnation: number;
  state: ClaimsState;
  /** Number of records of the log that it has folded. */
  folded: number;
  /** Orders that it sent and that have not ended. */
  running: { id: string; key: string }[];
};

/**
 * Simulates entry hosts and a log that stores batches late or repeatedly and
 * loses answers. Counts the runs of each key.
 */
function createModel() {
  const log: { id: string; timeMs: number; body: Batch["record"] }[] = [];
  /** Appends in transit to the log, which may arrive more than once. */
  const inTransit: Batch[] = [];
  const appendCounts = new Map<string, number>();
  const runs = new Map<string, number>();
  const toldNotRun = new Set<string>();
  const problems: string[] = [];
  let nowMs = 0;
  let lastOrder = 0;
  const createHolder = (member: string, incarnation: number): Holder => ({
    member,
    incarnation,
    state: createClaims({ member, incarnation: String(incarnation) }),
    folded: 0,
    running: [],
  });
  const holders = ["a", "b"].map((member) => createHolder(member, 1));

  function advance(holder: Holder, event: ClaimEvent): void {
    for (const action of advanceClaims(holder.state, event, nowMs)) {
      perform(holder, action);
    }
  }

  function perform(holder: Holder, action: ClaimAction): void {
    if (action.type === "append") {
      inTransit.push(action);
      const { recordId } = action;
      appendCounts.set(recordId, (appendCounts.get(recordId) ?? 0) + 1);
    }
    if (action.type === "refuse" && action.notRun) toldNotRun.add(action.id);
    if (action.type !== "send") return;
    const { id, key } = action;
    if (toldNotRun.has(id)) problems.push(`${id} sent after not-run`);
    holder.running.push({ id, key });
  }

  const steps = {
    order: (holder: Holder, choice: number) => {
      lastOrder += 1;
      advance(holder, {
        type: "order-received",
        id: `order-${lastOrder}`,
        key: KEYS[choice % 2]!,
        request: REQUESTS[choice % 5 === 0 ? 1 : 0]!,
        deadlineAtMs: nowMs + 100,
      });
    },
    /** Stores a batch in transit; a copy of it may stay in transit. */
    store: (_: Holder, choice: number) => {
      const batch = inTransit[choice % Math.max(1, inTransit.length)];
      if (batch === undefined) return;
      const keepsCopy = choice % 4 === 0;
      if (!keepsCopy) inTransit.splice(inTransit.indexOf(batch), 1);
      log.push({ id: batch.recordId, timeMs: nowMs, body: batch.record });
    },
    /** Delivers a result of the outstanding append that may be true. */
    answer: (holder: Holder, choice: number) => {
      const { batch } = holder.state;
      if (batch === undefined) return;
      const { recordId } = batch;
      const isStored = log.some(({ id }) => id === recordId);
      const isInTransit = inTransit.some((it) => it.recordId === recordId);
      // A refusal applies to one append only: an earlier append of the batch,
      // whose result was lost, may have been stored.
      const appends = appendCounts.get(recordId) ?? 0;
      const mayRefuse = appends > 1 || !(isStored || isInTransit);
      const result = choice % 3 === 0 && mayRefuse
        ? "refused"
        : choice % 3 === 1 && isStored
        ? "appended"
        : "unknown";
      advance(holder, { type: "append-result", recordId, result });
    },
    /** Loses an append in transit. */
    loseAppend: (holder: Holder) => {
      const recordId = holder.state.batch?.recordId;
      const index = inTransit.findIndex((it) => it.recordId === recordId);
      if (index >= 0) inTransit.splice(index, 1);
    },
    fold: (holder: Holder) => {
      const record = log[holder.folded];
      if (record === undefined) return;
      holder.folded += 1;
      advance(holder, { type: "folded", ...record });
    },
    end: (holder: Holder, choice: number) => {
      const order = holder.running.shift();
      if (order === undefined) return;
      const { key } = order;
      const end = (["answered", "not-run", "unknown"] as const)[choice % 3]!;
      if (end !== "not-run") runs.set(key, (runs.get(key) ?? 0) + 1);
      advance(holder, { type: "ended", key, end });
      advance(holder, { type: "answer-kept", key, offset: choice });
    },
    cancel: (holder: Holder, choice: number) => {
      const key = KEYS[choice % 2]!;
      const order = holder.state.local.get(key)?.orders[0];
      if (order === undefined) return;
      toldNotRun.add(order.id);
      advance(holder, { type: "cancelled", id: order.id, key });
    },
    wait: (holder: Holder, choice: number) => {
      nowMs += choice % 60;
      advance(holder, { type: "tick" });
    },
    /** Restarts the process; the orders that it sent may have run. */
    restart: (holder: Holder) => {
      for (const { key } of holder.running) {
        runs.set(key, (runs.get(key) ?? 0) + 1);
      }
      const next = createHolder(holder.member, holder.incarnation + 1);
      Object.assign(holder, next);
    },
  };
  return { holders, runs, steps, problems, settle };

  /** Delivers everything in transit, and submits each key at each host. */
  function settle(): void {
    for (let round = 0; round < 8; round += 1) {
      for (const holder of holders) {
        if (round === 3) {
          KEYS.forEach((_, index) => steps.order(holder, index + 6));
        }
        while (inTransit.length > 0) steps.store(holder, 1);
        const recordId = holder.state.batch?.recordId;
        const result = "appended";
        if (recordId) {
          advance(holder, { type: "append-result", recordId, result });
        }
        while (holder.folded < log.length) steps.fold(holder);
        while (holder.running.length > 0) steps.end(holder, 0);
        nowMs += 20;
        advance(holder, { type: "tick" });
      }
    }
  }
}

const STEP_NAMES = Object.keys(createModel().steps) as (
  keyof ReturnType<typeof createModel>["steps"]
)[];

describe("advanceClaims", () => {
  // Guards against keys that run twice, and orders that run after their caller
  // was told "not run", under lost append results, late copies and restarts.
  test("runs each key at most once", () => {
    const step = fc.tuple(
      // Most steps make progress, and few restart a process.
      fc.oneof(
        { weight: 20, arbitrary: fc.constantFrom(...STEP_NAMES) },
        { weight: 40, arbitrary: fc.constantFrom("fold", "store") },
      ),
      fc.nat({ max: 1 }),
      fc.nat({ max: 59 }),
    );
    const steps = fc.array(step, { minLength: 60, maxLength: 300 });
    let runCount = 0;
    fc.assert(
      fc.property(steps, (sequence) => {
        const model = createModel();
        for (const [name, index, choice] of sequence) {
          model.steps[name as keyof typeof model.steps](
            model.holders[index]!,
            choice,
          );
        }
        model.settle();
        const counts = [...model.runs.values()];
        runCount += counts.length;
        expect(model.problems).toEqual([]);
        expect(counts.every((count) => count <= 1)).toBe(true);
      }),
      { numRuns: 3_000, seed: 7 },
    );
    expect(runCount).toBeGreaterThan(1_000);
  });

  const [key, request] = [KEYS[0]!, REQUESTS[0]!];
  const claimed = { type: "claimed", key, request } as const;
  const released = { type: "released", key } as const;
  const fold = (
    state: ClaimsState,
    sequence: number,
    ...[entry, holder = "a"]: [typeof claimed | typeof released, string?]
  ) => {
    const body = { holder, incarnation: "1", entries: [entry] };
    const id = `claims.${holder}.1.${sequence}`;
    return advanceClaims(state, { type: "folded", id, timeMs: 0, body }, 0);
  };
  const order = (state: ClaimsState) => {
    const id = "order-1";
    const event = {
      type: "order-received",
      id,
      key,
      request,
      deadlineAtMs: 9,
    } as const;
    return advanceClaims(state, event, 0);
  };

  // Guards against a late copy of a release that ends a newer claim.
  test("ignores a batch that arrives again", () => {
    const state = createClaims({ member: "b", incarnation: "1" });
    fold(state, 1, claimed);
    fold(state, 2, released);
    fold(state, 3, claimed);
    fold(state, 2, released);
    expect(order(state)).toMatchObject([{ type: "wait-for-holder" }]);
  });

  // Guards against a release that ends the claim of another entry host.
  test("ignores the release of another holder", () => {
    const state = createClaims({ member: "b", incarnation: "1" });
    fold(state, 1, claimed);
    fold(state, 1, released, "c");
    expect(order(state)).toMatchObject([{ type: "wait-for-holder" }]);
  });

  // Guards against a key that stays claimed for an order that was cancelled.
  test("releases a claim whose order was cancelled", () => {
    const state = createClaims({ member: "a", incarnation: "1" });
    expect(order(state)).toMatchObject([{ type: "append" }]);
    advanceClaims(state, { type: "cancelled", id: "order-1", key }, 0);
    fold(state, 1, claimed);
    expect(advanceClaims(state, { type: "tick" }, 10))
      .toMatchObject([{ record: { entries: [released] } }]);
  });

  // Guards against more than 200 appends per second over all entry hosts.
  test("spaces appends, but makes the first one after a pause at once", () => {
    const state = createClaims({ member: "a", incarnation: "1" });
    advanceClaims(state, { type: "members", live: 9 }, 0);
    const order = (index: number, nowMs: number) => {
      const key = `${index}`.padStart(22, "A");
      const request = REQUESTS[0]!;
      const id = key;
      const deadlineAtMs = 1_000;
      const event = {
        type: "order-received",
        id,
        key,
        request,
        deadlineAtMs,
      } as const;
      return advanceClaims(state, event, nowMs);
    };
    const [append] = order(1, 0);
    expect(append).toMatchObject({ type: "append" });
    const { recordId } = append as Batch;
    const result = "appended";
    advanceClaims(state, { type: "append-result", recordId, result }, 5);
    expect(order(2, 10)).toEqual([{ type: "wake", atMs: 56.25 }]);
    const [second] = advanceClaims(state, { type: "tick" }, 56.25);
    expect(second).toMatchObject({ type: "append" });
  });
});

describe("ClaimFingerprints", () => {
  // Guards against old keys that are forgotten and run again, and against more
  // memory per claim than the default limit assumes.
  test("remembers the claims that no longer fit into the table", () => {
    const state = createClaims({ member: "b", incarnation: "1" });
    const keyOf = (index: number) => {
      const bytes = Buffer.alloc(16);
      bytes.writeDoubleLE(index * 0.123_456_789 + 1);
      bytes.writeUInt32LE(Math.imul(index, 2_654_435_761) >>> 0, 0);
      return bytes.toString("base64url");
    };
    const count = 400_000;
    for (let start = 0; start < count; start += 1_000) {
      const entries = Array.from({ length: 1_000 }, (_, index) => ({
        type: "claimed" as const,
        key: keyOf(start + index),
        request: REQUESTS[0]!,
      }));
      const body = { holder: "a", incarnation: "1", entries };
      const id = `claims.a.1.${start + 1}`;
      advanceClaims(state, { type: "folded", id, timeMs: start * 2, body }, 0);
    }
    expect(state.table.size + state.fingerprints.size).toBe(count);
    expect(state.fingerprints.bytes).toBe(5 * state.fingerprints.size);
    expect(state.table.bytes).toBeLessThan(30_000_000);
    const order = (key: string) =>
      advanceClaims(state, {
        type: "order-received",
        id: key,
        key,
        request: REQUESTS[0]!,
        deadlineAtMs: 100,
      }, 0);
    expect(order(keyOf(0))).toMatchObject([{ reason: "claimed-before" }]);
    expect(order(keyOf(count - 1))).toMatchObject([{
      type: "wait-for-holder",
    }]);
    expect(order(keyOf(count))).toMatchObject([{ type: "append" }]);
  });
});

describe("ClaimTable", () => {
  // Guards against lost or confused claims after removals from the index.
  test("behaves like a map under random changes", () => {
    const change = fc.tuple(fc.nat({ max: 2_000 }), fc.nat({ max: 9 }));
    fc.assert(
      fc.property(fc.array(change, { maxLength: 4_000 }), (changes) => {
        const table = new ClaimTable();
        const expected = new Map<string, number>();
        changes.forEach(([number, changeKind], timeS) => {
          const bytes = Buffer.alloc(16);
          // Uses few first words, so that index entries collide.
          bytes.writeUInt32LE(number % 64);
          bytes.writeUInt32LE(number, 4);
          const key = bytes.toString("base64url");
          const position = table.find(key);
          if (changeKind < 6 && position < 0) {
            table.insert(key, { request: key, holder: number, timeS });
            expected.set(key, timeS);
          } else if (changeKind < 9 && position >= 0) {
            table.remove(position);
            expected.delete(key);
          } else if (changeKind === 9 && timeS % 40 === 0) {
            table.evictBefore(timeS - 200);
            for (const [old, atS] of expected) {
              if (atS < timeS - 200) expected.delete(old);
            }
          }
          expect(table.size).toBe(expected.size);
          expect(table.find(key) >= 0).toBe(expected.has(key));
        });
        for (const key of expected.keys()) {
          const position = table.find(key);
          expect(table.matches(position, key)).toBe(true);
        }
      }),
      { numRuns: 60, seed: 7 },
    );
  });
});
