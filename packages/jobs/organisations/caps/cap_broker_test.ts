import { describe, expect, test } from "@jest/globals";
import fc from "fast-check";
import { type Call, CapMessages } from "./_cap_messages.ts";

const RUNS = 500;

/** What becomes of a call: the message, and the answer, may be lost or late. */
type Fate = "answered" | "unanswered" | "late" | "repeated";

type Step =
  | { type: "round"; fates: Fate[] }
  | { type: "arrive" | "startLate"; index: number }
  | { type: "submit" | "end"; partition: number; count: number }
  | { type: "takeOver" | "settle"; partition: number }
  | { type: "replaceBroker" }
  | { type: "setCap"; cap: number };

function playStep(world: CapMessages, late: Call[], step: Step): void {
  const count = world.sizes.length;
  switch (step.type) {
    case "round":
      world.send();
      world.calls.forEach((call, index) => {
        const fate = step.fates[index % step.fates.length]!;
        if (fate === "late" || fate === "repeated") late.push(call);
        if (fate !== "late") world.deliver(call);
        const isAnswered = fate === "answered" || fate === "repeated";
        world.finish(call, !isAnswered);
      });
      break;
    case "arrive":
      if (late.length > 0) world.deliver(late[step.index % late.length]!);
      break;
    case "startLate":
      world.startLate(step.index);
      break;
    case "submit":
      world.waiting[step.partition % count]! += step.count;
      break;
    case "end":
      world.end(step.partition % count, step.count);
      break;
    case "takeOver":
      world.takeOver(step.partition % count);
      break;
    case "settle":
      world.settle(step.partition % count);
      break;
    case "replaceBroker":
      // The earlier one sends nothing more, but its messages may arrive.
      world.broker = world.createBroker();
      break;
    case "setCap":
      world.cap = step.cap;
      world.caps.all();
      world.highestCap = Math.max(world.highestCap, step.cap);
      break;
  }
  for (const partition of world.sizes.keys()) world.startWaiting(partition);
}

const partition = fc.nat(4);
const count = fc.integer({ min: 1, max: 30 });
const fate = fc.oneof(
  { weight: 6, arbitrary: fc.constant<Fate>("answered") },
  { weight: 1, arbitrary: fc.constant<Fate>("unanswered") },
  { weight: 1, arbitrary: fc.constant<Fate>("late") },
  { weight: 1, arbitrary: fc.constant<Fate>("repeated") },
);
const round = fc.record<Step & { type: "round" }>({
  type: fc.constant("round"),
  fates: fc.array(fate, { minLength: 5, maxLength: 5 }),
});
const stepArbitrary: fc.Arbitrary<Step> = fc.oneof(
  { weight: 8, arbitrary: round },
  {
    weight: 2,
    arbitrary: fc.record<Step & { type: "arrive" | "startLate" }>({
      type: fc.constantFrom("arrive", "startLate"),
      index: fc.nat(20),
    }),
  },
  {
    weight: 4,
    arbitrary: fc.record<Step & { type: "submit" | "end" }>({
      type: fc.constantFrom("submit", "end"),
      partition,
      count,
    }),
  },
  {
    weight: 1,
    arbitrary: fc.record<Step & { type: "takeOver" | "settle" }>({
      type: fc.constantFrom("takeOver", "settle"),
      partition,
    }),
  },
  {
    weight: 1,
    arbitrary: fc.constant<Step>({ type: "replaceBroker" }),
  },
  {
    weight: 1,
    arbitrary: fc.record<Step & { type: "setCap" }>({
      type: fc.constant("setCap"),
      cap: fc.integer({ min: 1, max: 100 }),
    }),
  },
);

const worldArbitrary = fc.record({
  cap: fc.integer({ min: 1, max: 100 }),
  overshoot: fc.constantFrom(0, 0.1),
  sizes: fc.array(fc.integer({ min: 1, max: 12 }), {
    minLength: 1,
    maxLength: 5,
  }),
});

describe("createCapBroker", () => {
  test("never lets more run than the cap, whatever is lost or late", () => {
    fc.assert(
      fc.property(
        worldArbitrary,
        fc.array(stepArbitrary, { maxLength: 300, size: "max" }),
        (options, steps) => {
          const world = new CapMessages(options);
          const late: Call[] = [];
          for (const step of steps) playStep(world, late, step);
          expect(world.worst).toBeLessThanOrEqual(0);
        },
      ),
      { numRuns: RUNS },
    );
  });

  test("lends what the others leave unused within a few rounds", () => {
    fc.assert(
      fc.property(worldArbitrary, fc.nat(4), (options, needy) => {
        const world = new CapMessages(options);
        world.playCalmly(3);
        const partition = needy % options.sizes.length;
        world.waiting[partition] = 1_000;
        world.playCalmly(5);
        const size = options.sizes[partition]!;
        expect(world.total()).toBeGreaterThan(options.cap - size);
      }),
    );
  });

  test("lets none starve while the cap is under half in use", () => {
    fc.assert(
      fc.property(
        worldArbitrary,
        fc.array(stepArbitrary, { maxLength: 100, size: "max" }),
        (options, steps) => {
          const world = new CapMessages(options);
          for (const step of steps) playStep(world, [], step);
          for (const partition of options.sizes.keys()) {
            world.settle(partition);
            world.running[partition] = 0;
            world.waiting[partition]! += 1;
          }
          for (const call of [...world.calls]) world.finish(call, true);
          const { cap, sizes } = world;
          world.playCalmly(10);
          const isUnderHalf = world.total() < cap / 2;
          const smallest = Math.min(
            ...sizes.filter((_, partition) => world.waiting[partition]! > 0),
          );
          const hasRoom = world.total() + smallest <= cap ||
            world.total() === 0;
          expect(isUnderHalf && smallest < Infinity && hasRoom).toBe(false);
        },
      ),
      { numRuns: RUNS },
    );
  });
});
