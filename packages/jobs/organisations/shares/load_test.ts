import {
  afterEach,
  beforeEach,
  describe,
  expect,
  jest,
  test,
} from "@jest/globals";
import { type LoadOrganisation, playLoad } from "./_load_play.ts";

/** Executors of 16 cores, which 19 of 20 are busy with at the usual load. */
const EXECUTOR_COUNT = 10;
const USUAL_JOBS_PER_S = 38;

/** Creates 20 organisations, of which the first sends a third of all jobs. */
function createOrganisations(
  hot: { index: number; factor: number } = { index: 0, factor: 1 },
): LoadOrganisation[] {
  const parts = Array.from({ length: 20 }, (_, index) => (index + 1) ** -1.2);
  const sum = parts.reduce((left, right) => left + right, 0);
  return parts.map((part, index) => {
    const rate = USUAL_JOBS_PER_S * part / sum;
    const isHotAt = (atMs: number) =>
      index === hot.index && atMs >= 5_000 && atMs < 15_000;
    return {
      name: `organisation-${index}`,
      weight: Math.max(1, 1.9 * rate),
      rateAt: (atMs) => isHotAt(atMs) ? hot.factor * rate : rate,
    };
  });
}

/** Creates organisations of weight 10 that send all that it allows. */
function createBusy(count: number): LoadOrganisation[] {
  return Array.from({ length: count }, (_, index) => ({
    name: `busy-${index}`,
    weight: 10,
    rateAt: () => 10,
  }));
}

beforeEach(() => void jest.useFakeTimers());
afterEach(() => void jest.useRealTimers());

describe("placement by shares", () => {
  // Guards against one organisation at five times its usual that makes the
  // others late, on a service that the usual load fills.
  test.each([0, 3, 10])("keeps what others get beside hot one %i", (index) => {
    const load = { executorCount: EXECUTOR_COUNT, durationMs: 20_000 };
    const usual = playLoad({ ...load, organisations: createOrganisations() });
    const organisations = createOrganisations({ index, factor: 5 });
    const beside = playLoad({ ...load, organisations });
    const hot = `organisation-${index}`;
    for (const [name, { onTime }] of usual) {
      if (name === hot) continue;
      expect(beside.get(name)!.onTime).toBeGreaterThanOrEqual(
        Math.floor(0.97 * onTime),
      );
    }
    expect(beside.get(hot)!.coreSeconds)
      .toBeGreaterThanOrEqual(usual.get(hot)!.coreSeconds);
  });

  // Guards against an organisation that has been idle and then waits behind
  // the backlog of others, which ask for twice the capacity.
  test("gives an organisation that comes in turns its share at once", () => {
    const inTurns: LoadOrganisation = {
      name: "in-turns",
      weight: 10,
      rateAt: (atMs) => atMs % 10_000 < 5_000 ? 0 : 6,
    };
    const results = playLoad({
      organisations: [...createBusy(4), inTurns],
      executorCount: 8,
      durationMs: 33_000,
    });
    const { jobs, onTime } = results.get("in-turns")!;
    expect(onTime).toBeGreaterThanOrEqual(0.9 * jobs);
  });

  // Guards against a job that never starts, as it is wider than the share of
  // its organisation while all others wait as well.
  test("starts a job that is wider than the share", () => {
    const results = playLoad({
      organisations: [...createBusy(5), {
        name: "wide",
        weight: 1,
        rateAt: (atMs) => atMs < 1_000 ? 2 : 0,
        step: { count: 48 },
      }],
      executorCount: 8,
      durationMs: 10_000,
    });
    expect(results.get("wide")!.started).toBe(2);
  });

  // Guards against capacity that stays idle, as the organisations that could
  // use it by their weight do not come.
  test("gives shares that nobody uses to the others", () => {
    const results = playLoad({
      organisations: [
        ...createBusy(4).map((busy) => ({ ...busy, rateAt: () => 0 })),
        { name: "small", weight: 1, rateAt: () => 30 },
      ],
      executorCount: 8,
      durationMs: 10_000,
    });
    // 30 jobs a second take 120 of 128 cores.
    expect(results.get("small")!.onTime).toBeGreaterThanOrEqual(250);
  });
});

describe("refusal of what is beyond a weight", () => {
  const LOAD = {
    executorCount: EXECUTOR_COUNT,
    durationMs: 20_000,
    memberCount: 12,
  };

  // Guards against a hot organisation whose jobs are stored only to wait behind
  // all others, against refusing more of it than is beyond its weight, and
  // against refusing any job of the others.
  test("refuses of the hot one about what is beyond its weight", () => {
    const organisations = createOrganisations({ index: 0, factor: 5 });
    const results = playLoad({ ...LOAD, organisations });
    const { jobs, refused, beyondWeight } = results.get("organisation-0")!;
    const { weight, rateAt } = organisations[0]!;
    const usual = 10 * rateAt(0);
    const within = jobs - beyondWeight;
    expect(within).toBeGreaterThanOrEqual(0.9 * (usual + 10 * weight));
    expect(refused).toBeGreaterThanOrEqual(2 * beyondWeight);
    for (const [name, result] of results) {
      if (name !== "organisation-0") expect(result.refused).toBe(0);
    }
  });

  // Guards against refusals on a day without such a load.
  test("refuses nothing of the usual load", () => {
    const results = playLoad({ ...LOAD, organisations: createOrganisations() });
    for (const { refused } of results.values()) expect(refused).toBe(0);
  });
});
