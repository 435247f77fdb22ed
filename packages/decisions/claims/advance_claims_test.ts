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

/** Entry host of the model. */
type Holder = {
  member: string;
  incarnation: number;
  state: ClaimsState;
  /** Records of the log that it has folded. */
  folded: number;
  /** Orders that it sent and that have not ended. */
  running: { id: string; key: string }[];
};

/** Entry hosts with a log that loses answers and stores batches late. */
function createModel() {
  const log: { id: string; timeMs: number; body: Batch["record"] }[] = [];
  /** Batches on their way to the log, which may arrive more than once. */
  const travelling: Batch[] = [];
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
      travelling.push(action);
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
    /** A batch on its way reaches the log, and its answer may be lost. */
    store: (_: Holder, choice: number) => {
      const batch = travelling[choice % Math.max(1, travelling.length)];
      if (batch === undefined) return;
      const stays = choice % 4 === 0;
      if (!stays) travelling.splice(travelling.indexOf(batch), 1);
      log.push({ id: batch.recordId, timeMs: nowMs, body: batch.record });
    },
    answer: (holder: Holder, choice: number) => {
      const { batch } = holder.state;
      if (batch === undefined) return;
      const { recordId } = batch;
      const isStored = log.some(({ id }) => id === recordId);
      const isTravelling = travelling.some((it) => it.recordId === recordId);
      // A refusal concerns one append, not an earlier one without an answer.
      const appends = appendCounts.get(recordId) ?? 0;
      const mayRefuse = appends > 1 || !(isStored || isTravelling);
      const result = choice % 3 === 0 && mayRefuse
        ? "refused"
        : choice % 3 === 1 && isStored
        ? "appended"
        : "unknown";
      advance(holder, { type: "append-result", recordId, result });
    },
    /** The log refuses a batch that is on its way. */
    drop: (holder: Holder) => {
      const recordId = holder.state.batch?.recordId;
      const index = travelling.findIndex((it) => it.recordId === recordId);
      if (index >= 0) travelling.splice(index, 1);
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
    /** The process ends; what it sent may have run. */
    replace: (holder: Holder) => {
      for (const { key } of holder.running) {
        runs.set(key, (runs.get(key) ?? 0) + 1);
      }
      const next = createHolder(holder.member, holder.incarnation + 1);
      Object.assign(holder, next);
    },
  };
  return { holders, runs, steps, problems, settle };

  /** Lets everything on its way arrive, then orders each key everywhere. */
  function settle(): void {
    for (let round = 0; round < 8; round += 1) {
      for (const holder of holders) {
        if (round === 3) {
          KEYS.forEach((_, index) => steps.order(holder, index + 6));
        }
        while (travelling.length > 0) steps.store(holder, 1);
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
  // Guards against a second run of a key and a run after "not-run", under any
  // order of appends, lost answers, late copies, folds and restarts.
  test("runs each key at most once", () => {
    const step = fc.tuple(
      // Most steps carry the work on; few end a process.
      fc.oneof(
        { weight: 20, arbitrary: fc.constantFrom(...STEP_NAMES) },
        { weight: 40, arbitrary: fc.constantFrom("fold", "store") },
      ),
      fc.nat({ max: 1 }),
      fc.nat({ max: 59 }),
    );
    const steps = fc.array(step, { minLength: 60, maxLength: 300 });
    let ran = 0;
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
        ran += counts.length;
        expect(model.problems).toEqual([]);
        expect(counts.every((count) => count <= 1)).toBe(true);
      }),
      { numRuns: 3_000, seed: 7 },
    );
    expect(ran).toBeGreaterThan(1_000);
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

  // Guards against a late copy of a release that frees a newer claim.
  test("ignores a batch that arrives again", () => {
    const state = createClaims({ member: "b", incarnation: "1" });
    fold(state, 1, claimed);
    fold(state, 2, released);
    fold(state, 3, claimed);
    fold(state, 2, released);
    expect(order(state)).toMatchObject([{ type: "wait-for-holder" }]);
  });

  // Guards against a release that frees the claim of another entry host.
  test("ignores the release of another holder", () => {
    const state = createClaims({ member: "b", incarnation: "1" });
    fold(state, 1, claimed);
    fold(state, 1, released, "c");
    expect(order(state)).toMatchObject([{ type: "wait-for-holder" }]);
  });

  // Guards against a key that stays blocked by an order that was given up.
  test("releases a claim whose order was given up", () => {
    const state = createClaims({ member: "a", incarnation: "1" });
    expect(order(state)).toMatchObject([{ type: "append" }]);
    advanceClaims(state, { type: "cancelled", id: "order-1", key }, 0);
    fold(state, 1, claimed);
    expect(advanceClaims(state, { type: "tick" }, 10))
      .toMatchObject([{ record: { entries: [released] } }]);
  });

  // Guards against more than 200 appends per second of all entry hosts.
  test("spaces appends, but sends the first after idle at once", () => {
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
  // Guards against an old key that is forgotten and runs again, and against
  // memory per claim beyond what the settings assume.
  test("remembers more claims than the table has room for", () => {
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
  // Guards against lost or mixed-up claims when the index removes entries.
  test("equals a map under random changes", () => {
    const change = fc.tuple(fc.nat({ max: 2_000 }), fc.nat({ max: 9 }));
    fc.assert(
      fc.property(fc.array(change, { maxLength: 4_000 }), (changes) => {
        const table = new ClaimTable();
        const model = new Map<string, number>();
        changes.forEach(([number, kind], timeS) => {
          const bytes = Buffer.alloc(16);
          // Few first words, so that entries collide.
          bytes.writeUInt32LE(number % 64);
          bytes.writeUInt32LE(number, 4);
          const key = bytes.toString("base64url");
          const position = table.find(key);
          if (kind < 6 && position < 0) {
            table.insert(key, { request: key, holder: number, timeS });
            model.set(key, timeS);
          } else if (kind < 9 && position >= 0) {
            table.remove(position);
            model.delete(key);
          } else if (kind === 9 && timeS % 40 === 0) {
            table.evictBefore(timeS - 200);
            for (const [old, atS] of model) {
              if (atS < timeS - 200) model.delete(old);
            }
          }
          expect(table.size).toBe(model.size);
          expect(table.find(key) >= 0).toBe(model.has(key));
        });
        for (const key of model.keys()) {
          const position = table.find(key);
          expect(table.matches(position, key)).toBe(true);
        }
      }),
      { numRuns: 60, seed: 7 },
    );
  });
});
