import { describe, expect, test } from "@jest/globals";
import fc from "fast-check";
import { decodeKeys, encodeKeys } from "./_key_fixtures.ts";
import { KeyWorld, MAX_REVOCATION_MS } from "./_key_world.ts";
import { takeAnswer } from "./configuration_exchange.ts";
import {
  createHeldConfiguration,
  type HeldConfiguration,
} from "./held_configuration.ts";
import type { Instant } from "./instant.ts";

/** Instant of a clock in whose terms the tests of `steps` count. */
function at(ms: number): Instant {
  return { monotonicMs: ms, unixMs: ms, bootMs: ms };
}

/** Creates a holder at the instant 10,000. */
function createHeld(): HeldConfiguration {
  return createHeldConfiguration({
    decode: decodeKeys,
    onTaken: () => undefined,
    onUnreadable: () => undefined,
    ageOf: ({ monotonicMs }) => 10_000 - monotonicMs,
  });
}

const V = (version: number) => encodeKeys(version, [`key-${version}`]);

/** Answer of the store, or of a member if it tells an age. */
type Answer = {
  record?: string | undefined;
  sentAtMs: number;
  /** Whether the answer holds all that was stored. */
  isWhole?: boolean;
  /** Version and age of a member's configuration. */
  version?: number;
  ageMs?: number;
};

describe("createHeldConfiguration", () => {
  // Guards against a configuration that looks newer than it is (CONFIG), and
  // against one that goes back to a lower version.
  test.each<{
    what: string;
    answers: Answer[];
    version: number | undefined;
    ageMs: number;
  }>([
    { what: "no answer", answers: [], version: undefined, ageMs: Infinity },
    {
      what: "an answer that took long",
      answers: [{ record: V(1), sentAtMs: 2_000 }],
      version: 1,
      ageMs: 8_000,
    },
    {
      what: "an answer that was cut off",
      answers: [
        { record: V(1), sentAtMs: 2_000 },
        { record: V(2), sentAtMs: 9_000, isWhole: false },
      ],
      version: 2,
      ageMs: 8_000,
    },
    {
      what: "versions in quick succession in one answer",
      answers: [
        { record: V(1), sentAtMs: 9_000, isWhole: false },
        { record: V(2), sentAtMs: 9_000, isWhole: false },
        { record: V(5), sentAtMs: 9_000 },
      ],
      version: 5,
      ageMs: 1_000,
    },
    {
      what: "answers that overtake each other",
      answers: [
        { record: V(3), sentAtMs: 9_000 },
        { record: V(3), sentAtMs: 8_000 },
      ],
      version: 3,
      ageMs: 1_000,
    },
    {
      what: "a store that answers with an old version",
      answers: [
        { record: V(3), sentAtMs: 7_000 },
        { record: V(2), sentAtMs: 9_000 },
      ],
      version: 3,
      ageMs: 3_000,
    },
    {
      what: "a newer version that can't be read",
      answers: [
        { record: V(3), sentAtMs: 7_000 },
        { record: "broken", sentAtMs: 9_000 },
      ],
      version: 3,
      ageMs: 3_000,
    },
    {
      what: "a first version that can't be read",
      answers: [
        { record: "broken", sentAtMs: 9_000 },
        { record: V(1), sentAtMs: 9_500, isWhole: false },
      ],
      version: 1,
      ageMs: Infinity,
    },
    {
      what: "a deleted record",
      answers: [
        { record: V(3), sentAtMs: 7_000 },
        { record: undefined, sentAtMs: 9_000 },
      ],
      version: 3,
      ageMs: 3_000,
    },
    {
      what: "a start by the answer of another member",
      answers: [{ record: V(4), sentAtMs: 9_500, version: 4, ageMs: 700 }],
      version: 4,
      ageMs: 1_200,
    },
    {
      what: "a member that has the same version",
      answers: [
        { record: V(4), sentAtMs: 5_000 },
        { sentAtMs: 9_500, version: 4, ageMs: 700 },
      ],
      version: 4,
      ageMs: 1_200,
    },
    {
      what: "a member that is behind, or has nothing, or does not know its age",
      answers: [
        { record: V(4), sentAtMs: 5_000 },
        { sentAtMs: 9_500, version: 3, ageMs: 0 },
        { record: V(3), sentAtMs: 9_500, version: 3, ageMs: 0 },
        { sentAtMs: 9_500, version: -1, ageMs: 0 },
        { sentAtMs: 9_500, version: 4, ageMs: Infinity },
        { sentAtMs: 9_500, version: 4, ageMs: NaN },
        { sentAtMs: 9_500, version: 4, ageMs: -5_000 },
      ],
      version: 4,
      ageMs: 5_000,
    },
    {
      what: "a member whose configuration can't be read",
      answers: [
        { record: V(4), sentAtMs: 5_000 },
        { record: "broken", sentAtMs: 9_500, version: 5, ageMs: 0 },
      ],
      version: 4,
      ageMs: 5_000,
    },
  ])("knows its age after $what", ({ answers, version, ageMs }) => {
    const held = createHeld();
    const source = held.createSource();
    for (const { record, sentAtMs, isWhole = true, ...member } of answers) {
      if (member.version !== undefined) {
        const { version, ageMs = Infinity } = member;
        takeAnswer(held, { version, ageMs, record, sentAt: at(sentAtMs) });
        continue;
      }
      source.offer(record);
      if (isWhole) source.confirm(at(sentAtMs));
    }
    expect(held.current()?.version).toBe(version);
    expect(held.ageMs()).toBe(ageMs);
  });

  const Ms = fc.oneof(fc.nat(100), fc.nat(3_000), fc.nat(12_000));
  const DelayMs = fc.oneof(fc.nat(20), fc.nat(4_000));
  const Reading = fc.record({
    type: fc.constantFrom("read" as const, "ask" as const),
    index: fc.constantFrom(0 as const, 1 as const),
    delay: fc.record({ thereMs: DelayMs, backMs: DelayMs }),
  });
  const Event = fc.oneof(
    fc.record({
      type: fc.constant("publish" as const),
      keys: fc.subarray(["a", "b"]),
    }),
    Reading,
    Reading,
    fc.record({
      type: fc.constantFrom(
        "pass" as const,
        "pass" as const,
        "freeze" as const,
        "suspend" as const,
      ),
      ms: Ms,
    }),
    fc.record({
      type: fc.constant("step" as const),
      ms: fc.integer({ min: -30_000, max: 30_000 }),
    }),
  );

  // Guards against a call that is served with a key which was taken away longer
  // ago than promised, on any member (CONFIG).
  test("never allows a key that was taken away longer ago", () => {
    let allowedCount = 0;
    const check = (world: KeyWorld) => {
      for (const member of world.members) {
        for (const key of ["a", "b"]) {
          if (world.call(member, key)?.type !== "allowed") continue;
          allowedCount++;
          expect(world.wasValidWithin(MAX_REVOCATION_MS, key)).toBe(true);
        }
      }
    };
    fc.assert(
      fc.property(fc.array(Event, { maxLength: 80 }), (events) => {
        const world = new KeyWorld();
        world.publish(["a", "b"]);
        for (const member of world.members) {
          world.readStore(member, { thereMs: 0, backMs: 0 });
        }
        world.deliver();
        for (const event of events) {
          switch (event.type) {
            case "publish":
              world.publish(event.keys);
              break;
            case "read":
              world.readStore(world.members[event.index], event.delay);
              break;
            case "ask":
              world.askMember(event.index, event.delay);
              break;
            case "step":
              world.stepClock(event.ms);
              break;
            default:
              world.pass(event.ms, { isSuspended: event.type === "suspend" });
          }
          // A call may be read before any answer that came in a pause.
          check(world);
          if (event.type !== "pass") continue;
          world.deliver();
          check(world);
        }
      }),
      { numRuns: 3_000 },
    );
    expect(allowedCount).toBeGreaterThan(0);
  });
});
