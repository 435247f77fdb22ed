import {
  afterEach,
  beforeEach,
  describe,
  expect,
  jest,
  test,
} from "@jest/globals";
import { advanceTime } from "../../jobs/_fixtures.ts";
import { describeOutcome } from "./describe_outcome.ts";
import { runSoak } from "./run_soak.ts";
import { SOAK_PLANS } from "./soak_plans.ts";

/** Seeds with long leases that run in CI, with the causes of failures. */
const LEASE_CI_SEEDS = [
  1,
  2,
  18,
  28,
  // A run that the next owner adopted, for less than its lease.
  81,
  // The same, after a handover that named the short time.
  191,
  // A run that the next owner started beside a longer lease.
  87,
  // A new owner that waited for a silent executor for less than its lease.
  257,
  // A late poll that prolonged the lease meanwhile.
  73,
  // The same while an owner waited since a restart.
  168,
  // A late poll that prolonged the lease of a new process that answers.
  169,
];

/** Seeds with changing capacities that run in CI, with causes of failures. */
const CAPACITY_CI_SEEDS = [
  1,
  2,
  3,
  4,
  // A run that started after a restart which the owner had not noticed.
  11,
  26,
  31,
];

/** Seeds with deadly tasks that run in CI, with the causes of failures. */
const DEADLY_CI_SEEDS = [
  1,
  2,
  3,
  4,
  5,
  9,
  // A start without an answer that a restarted executor seemed to outlast.
  13,
  14,
  // A lost start, whose executor answered other calls.
  16,
  // Crashes that were not clear yet as the owner changed.
  6,
];

/** Seeds with a cap that run in CI, with what each needs to pass. */
const CAP_CI_SEEDS = [
  1,
  2,
  // Counting the tasks that an earlier owner may have started.
  9,
  // Counting starts that were given up and may be carried out late.
  33,
];
/** Seeds with reservations that run in CI. */
const RESERVATION_CI_SEEDS = [1, 2];

/** Seeds that run in CI, with the causes of those that failed once. */
const CI_SEEDS = [
  1,
  2,
  4,
  5,
  6,
  // A job whose last task was stored as done, but not its outcome.
  3,
  82,
  // A run that started after a restart which the owner had not noticed.
  34,
  99,
  // Tasks that wait until the longest lease of an earlier owner has expired.
  98,
  // An executor that was never polled again after a lost poll.
  108,
  126,
];

/** Returns the seeds of a range such as `1-200`. */
function parseSeeds(range: string): number[] {
  const [first, last] = range.split("-").map(Number);
  const count = (last ?? first!) - first! + 1;
  return Array.from({ length: count }, (_, index) => first! + index);
}

const range = process.env["SOAK_SEEDS"];
const seedsOr = (ciSeeds: number[]) =>
  range === undefined ? ciSeeds : parseSeeds(range);

describe("partition owners under random faults", () => {
  beforeEach(() => {
    jest.useFakeTimers();
  });

  afterEach(() => {
    jest.useRealTimers();
  });

  // Guards against lasting tasks that are not run again, tasks that run twice,
  // and other broken promises that only a series of faults shows.
  test.each(seedsOr(CI_SEEDS))(
    "keep their promises, seed %i",
    async (seed) => {
      const plan = SOAK_PLANS.basic;
      const outcome = await runSoak(seed, { plan, advanceTime });
      expect(describeOutcome(outcome)).toBe("");
    },
  );

  // Guards against tasks that crash one executor after the other, and against
  // jobs that are given up without cause.
  test.each(seedsOr(DEADLY_CI_SEEDS))(
    "keep their promises beside deadly tasks, seed %i",
    async (seed) => {
      const plan = SOAK_PLANS.deadlyTasks;
      const outcome = await runSoak(seed, { plan, advanceTime });
      expect(describeOutcome(outcome)).toBe("");
    },
  );

  // Guards against starts beyond a capacity that has shrunk, and against
  // capacity that stays unused after it has grown.
  test.each(seedsOr(CAPACITY_CI_SEEDS))(
    "keep their promises as capacities change, seed %i",
    async (seed) => {
      const plan = SOAK_PLANS.capacities;
      const outcome = await runSoak(seed, { plan, advanceTime });
      expect(describeOutcome(outcome)).toBe("");
    },
  );

  // Guards against runs beyond a cap that an owner does not know of, and
  // against tasks that wait while half of the cap is free.
  test.each(seedsOr(CAP_CI_SEEDS))(
    "keep their promises and a cap, seed %i",
    async (seed) => {
      const plan = SOAK_PLANS.caps;
      const outcome = await runSoak(seed, { plan, advanceTime });
      expect(describeOutcome(outcome)).toBe("");
    },
  );

  // Guards against room that is reserved for good, tasks that never start
  // beside reservations, and reservations that outlast their owner.
  test.each(seedsOr(RESERVATION_CI_SEEDS))(
    "keep their promises as they reserve room, seed %i",
    async (seed) => {
      const plan = SOAK_PLANS.reservations;
      const outcome = await runSoak(seed, { plan, advanceTime });
      expect(describeOutcome(outcome)).toBe("");
      const { history } = outcome.world;
      expect(history.some((line) => line.includes("roomReserved"))).toBe(true);
    },
  );

  // Guards against owners that hold for expired what an executor still runs, as
  // its clock started anew or the next process carried out an earlier call.
  test.each(seedsOr(LEASE_CI_SEEDS))(
    "keep their promises as leases last long, seed %i",
    async (seed) => {
      const plan = SOAK_PLANS.longLeases;
      const outcome = await runSoak(seed, { plan, advanceTime });
      expect(describeOutcome(outcome)).toBe("");
    },
  );
});
