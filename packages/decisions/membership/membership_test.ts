import { describe, expect, test } from "@jest/globals";
import fc from "fast-check";
import { chooseWatcher } from "./choose_watcher.ts";
import {
  FENCE_MS,
  hasSlotRights,
  LOSS_MS,
  type SlotRightsState,
} from "./slot_rights.ts";
import {
  createWatch,
  findLosses,
  forgetMembers,
  noteHeartbeat,
  withdrawReport,
} from "./watch.ts";

const NOW_MS = 100_000;
const RECENT_MS = NOW_MS - FENCE_MS + 1;
const OLD_MS = NOW_MS - FENCE_MS;
const NONE = { promisedAtMs: undefined, refusedAtMs: undefined };

describe("hasSlotRights()", () => {
  // Guards against sending on expired rights, and against an entry host that
  // stops serving although its loss can't have been reported.
  test.each<[string, boolean, Partial<SlotRightsState>]>([
    ["no membership", false, { isMember: false, logReadAtMs: NOW_MS }],
    ["recent log", true, { logReadAtMs: RECENT_MS, watchers: [NONE] }],
    ["old log", false, { logReadAtMs: OLD_MS, watchers: [NONE] }],
    ["no watcher", true, {}],
    ["promise", true, { watchers: [{ ...NONE, promisedAtMs: RECENT_MS }] }],
    ["old promise", false, { watchers: [{ ...NONE, promisedAtMs: OLD_MS }] }],
    ["refusal", true, { watchers: [{ ...NONE, refusedAtMs: RECENT_MS }] }],
    ["old refusal", false, { watchers: [{ ...NONE, refusedAtMs: OLD_MS }] }],
    [
      "one of two possible watchers silent",
      false,
      { watchers: [{ ...NONE, promisedAtMs: RECENT_MS }, NONE] },
    ],
  ])("%s: %s", (_, expected, fields) => {
    const state = {
      isMember: true,
      logReadAtMs: undefined,
      watchers: [],
      ...fields,
    };
    expect(hasSlotRights(state, NOW_MS)).toBe(expected);
  });
});

describe("findLosses()", () => {
  const member = { name: "b", incarnation: "i1" };

  // Guards against false reports of a member that is heard, at the start of a
  // watch, and by a watcher that was paused itself.
  test("reports a member after its silence, once", () => {
    const watch = createWatch();
    const at = (nowMs: number) => findLosses(watch, [member], nowMs);
    const steps = (fromMs: number, toMs: number) => {
      const found = [];
      for (let ms = fromMs; ms <= toMs; ms += 500) found.push(...at(ms));
      return found;
    };
    expect(steps(0, 1_000)).toEqual([]);
    expect(noteHeartbeat(watch, member, 1_000)).toBe(LOSS_MS);
    expect(steps(1_500, 3_500)).toEqual([]);
    expect(at(60_000)).toEqual([]);
    expect(steps(60_500, 64_000)).toEqual([member]);
  });

  // Guards against a promise that a report under way breaks.
  test("promises nothing while a report may be under way", () => {
    const watch = createWatch();
    for (let ms = 0; ms <= LOSS_MS; ms += 500) findLosses(watch, [member], ms);
    expect(noteHeartbeat(watch, member, LOSS_MS)).toBe(0);
    withdrawReport(watch, member);
    expect(noteHeartbeat(watch, member, LOSS_MS)).toBe(LOSS_MS);
    forgetMembers(watch, []);
    expect(watch.heardAtMs.size).toBe(0);
  });

  // Guards against rights that outlast a report: through lost and late
  // heartbeats and pauses of the watcher, the watched member has no rights by a
  // promise when the watcher reports its loss.
  test("never reports a member that has rights by a promise", () => {
    const step = fc.record({
      passMs: fc.integer({ min: 50, max: 1_500 }),
      isSent: fc.boolean(),
      delayMs: fc.integer({ min: 0, max: 1_400 }),
      isAnswered: fc.boolean(),
    });
    fc.assert(fc.property(fc.array(step, { maxLength: 60 }), (steps) => {
      const watch = createWatch();
      const arrivals: { sentMs: number; atMs: number; isAnswered: boolean }[] =
        [];
      let nowMs = 0;
      let promisedAtMs: number | undefined;
      for (const { passMs, isSent, delayMs, isAnswered } of steps) {
        nowMs += passMs;
        const due = arrivals.filter(({ atMs }) => atMs <= nowMs);
        for (const arrival of due) {
          arrivals.splice(arrivals.indexOf(arrival), 1);
          const promiseMs = noteHeartbeat(watch, member, nowMs);
          if (promiseMs > 0 && arrival.isAnswered) {
            promisedAtMs = Math.max(promisedAtMs ?? 0, arrival.sentMs);
          }
        }
        if (isSent) {
          arrivals.push({ sentMs: nowMs, atMs: nowMs + delayMs, isAnswered });
        }
        if (findLosses(watch, [member], nowMs).length === 0) continue;
        const watchers = [{ promisedAtMs, refusedAtMs: undefined }];
        const state = { isMember: true, logReadAtMs: undefined, watchers };
        expect(hasSlotRights(state, nowMs)).toBe(false);
        return;
      }
    }));
  });
});

describe("chooseWatcher()", () => {
  // Guards against a watcher that does not answer, and against all entry hosts
  // naming the same one.
  test.each([
    { self: "b", current: undefined, answering: ["a", "c"], next: "c" },
    { self: "c", current: undefined, answering: ["a", "b"], next: "a" },
    { self: "b", current: "a", answering: ["a", "c"], next: undefined },
    { self: "b", current: "a", answering: ["c"], next: "c" },
    { self: "b", current: "a", answering: [], next: undefined },
  ])("names $next for $self", ({ next, ...choice }) => {
    expect(chooseWatcher(choice)).toBe(next);
  });
});
