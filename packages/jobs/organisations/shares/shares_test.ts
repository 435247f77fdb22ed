import { describe, expect, test } from "@jest/globals";
import fc from "fast-check";
import { orderByShares } from "./order_by_shares.ts";
import { createShares, divideShares, type Shares } from "./shares.ts";
import { createWeightBuckets } from "./weight_buckets.ts";

const NO_LIMIT = { cpu: 0, memoryMb: 0, accelerators: 0 };

function sharesFor(weights: Record<string, number>): Shares {
  return createShares({
    organisations: Object.entries(weights).map(([name, weight]) => ({
      name,
      weight,
      apiKeys: [],
      cap: NO_LIMIT,
    })),
  })!;
}

const Weights = fc.dictionary(
  fc.constantFrom("a", "b", "c", "d", "e"),
  fc.oneof(
    fc.constantFrom(0, 1e-9, Number.MAX_VALUE, Infinity, NaN),
    fc.double({ min: 0.1, max: 1_000, noNaN: true }),
  ),
);

describe("divideShares", () => {
  // Guards against shares that are not numbers or exceed the capacity for any
  // weight that a configuration may hold, or for organisations that it lacks.
  test("divides the whole capacity", () => {
    fc.assert(fc.property(Weights, (weights) => {
      const names = [...Object.keys(weights), "unknown", undefined];
      const parts = [...divideShares(names, sharesFor(weights)).values()];
      const sum = parts.reduce((left, right) => left + right, 0);
      expect(sum).toBeCloseTo(1, 9);
      expect(Math.min(...parts)).toBeGreaterThanOrEqual(0);
    }));
  });

  // Guards against jobs that nobody serves any more, as a configuration has
  // dropped their organisation, and callers of public queues without a share.
  test("gives an unknown organisation and none the mean weight", () => {
    const { weightOf } = sharesFor({ a: 1, b: 3 });
    expect([weightOf("gone"), weightOf(undefined)]).toEqual([2, 2]);
    expect(sharesFor({}).weightOf("gone")).toBe(1);
    expect(createShares({ organisations: undefined })).toBeUndefined();
  });
});

describe("orderByShares", () => {
  const order = (
    works: readonly { organisation: string; id: number }[],
    { weights, held = new Map() }: {
      weights: Record<string, number>;
      held?: Map<string, number>;
    },
  ) =>
    orderByShares(
      works.map((work) => ({
        ...work,
        size: { ...NO_LIMIT, cpu: 1 },
        count: 1,
      })),
      {
        shares: sharesFor(weights),
        capacity: { cpu: 20, memoryMb: 0, accelerators: 0 },
        held: new Map(
          [...held].map(([name, cpu]) => [name, { ...NO_LIMIT, cpu }]),
        ),
        isPeer: () => true,
      },
    );

  // Guards against an organisation of small weight that waits for ever while
  // larger ones send more than there is capacity for.
  test("serves each organisation of some weight in bounded time", () => {
    const Positive = fc.array(
      fc.double({ min: 0.01, max: 1_000, noNaN: true }),
      { minLength: 2, maxLength: 6 },
    );
    fc.assert(fc.property(Positive, (list) => {
      const weights = Object.fromEntries(
        list.map((weight, index) => [`o${index}`, weight]),
      );
      const names = Object.keys(weights);
      const served = new Set<string>();
      const running: string[] = [];
      for (let round = 0; round < 20; round++) {
        // Four of 20 units become free in each round.
        if (running.length >= 20) running.splice(0, 4);
        const held = new Map<string, number>();
        for (const name of running) held.set(name, (held.get(name) ?? 0) + 1);
        // All have a backlog, and the small ones come last.
        const works = names.flatMap((organisation) =>
          Array.from({ length: 20 }, (_, id) => ({ organisation, id }))
        );
        const ordered = order(works, { weights, held });
        for (const { organisation } of ordered.slice(0, 4)) {
          running.push(organisation);
          served.add(organisation);
        }
      }
      expect(served.size).toBe(names.length);
    }));
  });

  // Guards against work that gets lost or stands twice, and against a changed
  // order within an organisation.
  test("keeps all works, and their order within an organisation", () => {
    const Works = fc.array(fc.constantFrom("a", "b", "c", "gone"));
    fc.assert(fc.property(Works, Weights, (names, weights) => {
      const works = names.map((organisation, id) => ({ organisation, id }));
      const ordered = order(works, { weights });
      for (const name of new Set(names)) {
        const idsOf = (list: readonly { organisation: string; id: number }[]) =>
          list.filter(({ organisation }) => organisation === name)
            .map(({ id }) => id);
        expect(idsOf(ordered)).toEqual(idsOf(works));
      }
      expect(ordered).toHaveLength(works.length);
    }));
  });
});

describe("createWeightBuckets", () => {
  // Guards against organisations that get more or less than their weight.
  test.each([
    { weight: 0, sentPerS: 10, within: 0 },
    { weight: 0.5, sentPerS: 10, within: 8 },
    { weight: 4, sentPerS: 10, within: 48 },
    { weight: 12, sentPerS: 10, within: 100 },
    { weight: 1e9, sentPerS: 10, within: 100 },
  ])("lets $within of 100 jobs pass at weight $weight", (row) => {
    const { weight, sentPerS, within } = row;
    const buckets = createWeightBuckets();
    let count = 0;
    for (let nowMs = 0; nowMs < 10_000; nowMs += 1_000 / sentPerS) {
      const arrival = { weight, acceptedAtMs: nowMs, nowMs };
      if (buckets.take("a", arrival)) count++;
    }
    expect(Math.abs(count - within)).toBeLessThanOrEqual(1);
  });

  // Guards against a clock that is set back or is ahead at one member, and
  // then closes the bucket for that long.
  test("goes on after a step of a clock", () => {
    const buckets = createWeightBuckets();
    const take = (acceptedAtMs: number, nowMs: number) =>
      buckets.take("a", { weight: 1, acceptedAtMs, nowMs });
    for (let index = 0; index < 3; index++) take(60_000, 50_000);
    expect(take(50_000, 50_000)).toBe(false);
    expect(take(51_000, 51_000)).toBe(true);
    expect(take(10_000, 10_000)).toBe(false);
    expect(take(11_000, 11_000)).toBe(true);
  });

  // Guards against callers that come back before there is room, or never.
  test("tells when a bucket has room", () => {
    const buckets = createWeightBuckets();
    const arrival = { weight: 0.25, acceptedAtMs: 0, nowMs: 0 };
    for (let index = 0; index < 3; index++) buckets.take("a", arrival);
    expect(buckets.readyInMs("a", { weight: 0.25, nowMs: 0 })).toBe(0);
    buckets.take("a", arrival);
    expect(buckets.readyInMs("a", { weight: 0.25, nowMs: 1_000 })).toBe(3_000);
    expect(buckets.readyInMs("a", { weight: 0.25, nowMs: 4_000 })).toBe(0);
    buckets.take("none", { ...arrival, weight: 0 });
    expect(buckets.readyInMs("none", { weight: 0, nowMs: 0 })).toBe(30_000);
    expect(buckets.readyInMs("calm", { weight: 0, nowMs: 0 })).toBe(0);
  });
});
