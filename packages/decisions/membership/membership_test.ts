/**
 * Tests of watchers, the detection of losses and the right to use slots.
 *
 * @module
 */

import { describe, expect, test } from "@jest/globals";
import fc from "fast-check";
import { chooseWatcher } from "./choose_watcher.ts";
import {
  FENCING_TIMEOUT_MS,
  hasSlotRights,
  LOSS_TIMEOUT_MS,
  type SlotRightsState,
} from "./slot_rights.ts";
import {
  createWatcherState,
  findLosses,
  noteHeartbeat,
  retainMembers,
  withdrawReport,
} from "./watcher_state.ts";

const NOW_MS = 100_000;
const RECENT_MS = NOW_MS - FENCING_TIMEOUT_MS + 1;
const OLD_MS = NOW_MS - FENCING_TIMEOUT_MS;
const NO_CONTACT = { promisedAtMs: undefined, refusedAtMs: undefined };

describe("hasSlotRights()", () => {
  // Guards against requests that are sent after the right has expired, and
  // against an entry host that stops although no other can have reported it.
  test.each<[string, boolean, Partial<SlotRightsState>]>([
    ["no membership", false, { isMember: false, logReadAtMs: NOW_MS }],
    ["recent read of the log", true, {
      logReadAtMs: RECENT_MS,
      watchers: [NO_CONTACT],
    }],
    ["old read of the log", false, {
      logReadAtMs: OLD_MS,
      watchers: [NO_CONTACT],
    }],
    ["no watcher", true, {}],
    ["recent promise", true, {
      watchers: [{ ...NO_CONTACT, promisedAtMs: RECENT_MS }],
    }],
    ["old promise", false, {
      watchers: [{ ...NO_CONTACT, promisedAtMs: OLD_MS }],
    }],
    ["recent refused connection", true, {
      watchers: [{ ...NO_CONTACT, refusedAtMs: RECENT_MS }],
    }],
    ["old refused connection", false, {
      watchers: [{ ...NO_CONTACT, refusedAtMs: OLD_MS }],
    }],
    [
      "one of two watchers without contact",
      false,
      { watchers: [{ ...NO_CONTACT, promisedAtMs: RECENT_MS }, NO_CONTACT] },
    ],
  ])("with %s returns %s", (_, expected, fields) => {
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

  // Guards against false reports of a member that sends heartbeats, of one that
  // is new, and by a watcher that was paused itself.
  test("reports a member once when its heartbeats stop", () => {
    const watcher = createWatcherState();
    const at = (nowMs: number) => findLosses(watcher, [member], nowMs);
    const checkEvery500Ms = (fromMs: number, toMs: number) => {
      const found = [];
      for (let ms = fromMs; ms <= toMs; ms += 500) found.push(...at(ms));
      return found;
    };
    expect(checkEvery500Ms(0, 1_000)).toEqual([]);
    expect(noteHeartbeat(watcher, member, 1_000)).toBe(LOSS_TIMEOUT_MS);
    expect(checkEvery500Ms(1_500, 3_500)).toEqual([]);
    expect(at(60_000)).toEqual([]);
    expect(checkEvery500Ms(60_500, 64_000)).toEqual([member]);
  });

  // Guards against a promise to a member whose pending report takes effect.
  test("promises nothing while a report is pending", () => {
    const watcher = createWatcherState();
    for (let ms = 0; ms <= LOSS_TIMEOUT_MS; ms += 500) {
      findLosses(watcher, [member], ms);
    }
    expect(noteHeartbeat(watcher, member, LOSS_TIMEOUT_MS)).toBe(0);
    withdrawReport(watcher, member);
    expect(noteHeartbeat(watcher, member, LOSS_TIMEOUT_MS)).toBe(
      LOSS_TIMEOUT_MS,
    );
    retainMembers(watcher, []);
    expect(watcher.lastHeartbeatAtMs.size).toBe(0);
  });

  // Guards against slots that two entry hosts use: with any lost or delayed
  // heartbeats and any pauses of the watcher, the promises to a member have
  // expired when the watcher reports its loss.
  test("never reports a member that has rights by a promise", () => {
    const step = fc.record({
      passMs: fc.integer({ min: 50, max: 1_500 }),
      isSent: fc.boolean(),
      delayMs: fc.integer({ min: 0, max: 1_400 }),
      isAnswered: fc.boolean(),
    });
    fc.assert(fc.property(fc.array(step, { maxLength: 60 }), (steps) => {
      const watcher = createWatcherState();
      const arrivals: { sentMs: number; atMs: number; isAnswered: boolean }[] =
        [];
      let nowMs = 0;
      let promisedAtMs: number | undefined;
      for (const { passMs, isSent, delayMs, isAnswered } of steps) {
        nowMs += passMs;
        const due = arrivals.filter(({ atMs }) => atMs <= nowMs);
        for (const arrival of due) {
          arrivals.splice(arrivals.indexOf(arrival), 1);
          const promiseMs = noteHeartbeat(watcher, member, nowMs);
          if (promiseMs > 0 && arrival.isAnswered) {
            promisedAtMs = Math.max(promisedAtMs ?? 0, arrival.sentMs);
          }
        }
        if (isSent) {
          arrivals.push({ sentMs: nowMs, atMs: nowMs + delayMs, isAnswered });
        }
        if (findLosses(watcher, [member], nowMs).length === 0) continue;
        const watchers = [{ promisedAtMs, refusedAtMs: undefined }];
        const state = { isMember: true, logReadAtMs: undefined, watchers };
        expect(hasSlotRights(state, nowMs)).toBe(false);
        return;
      }
    }));
  });
});

describe("chooseWatcher()", () => {
  // Guards against a watcher that doesn't answer, and against the choice of one
  // entry host by all others.
  test.each([
    { self: "b", current: undefined, answering: ["a", "c"], next: "c" },
    { self: "c", current: undefined, answering: ["a", "b"], next: "a" },
    { self: "b", current: "a", answering: ["a", "c"], next: undefined },
    { self: "b", current: "a", answering: ["c"], next: "c" },
    { self: "b", current: "a", answering: [], next: undefined },
  ])(
    "chooses $next for $self with the watcher $current",
    ({ next, ...options }) => {
      expect(chooseWatcher(options)).toBe(next);
    },
  );
});
