import { describe, expect, test } from "@jest/globals";
import fc from "fast-check";
import { isWithin } from "../../executor_state.ts";
import type { ExecutorState } from "../../executor_state.ts";
import type { Job } from "../../job.ts";
import { createCandidate } from "../choose_candidate.ts";
import {
  createAnswering,
  createWaiting,
  groupOf,
  NOW_MS,
  occupyBy,
  placeAt,
  type StepFields,
} from "./_reservation_fixtures.ts";
import { createReservationBook } from "./reservation_book.ts";
import { startReservations } from "./reserve_room.ts";
import { addSize } from "../../_sizes.ts";

const running: fc.Arbitrary<StepFields> = fc.record({
  cpu: fc.integer({ min: 500, max: 6_000 }),
  estimateMs: fc.integer({ min: 0, max: 3_000 }),
  isLasting: fc.boolean(),
});

const waiting = (maxCpu: number): fc.Arbitrary<StepFields> =>
  fc.record({
    cpu: fc.integer({ min: 500, max: maxCpu }),
    estimateMs: fc.integer({ min: 0, max: 3_000 }),
    count: fc.integer({ min: 1, max: 4 }),
    maxPerExecutor: fc.integer({ min: 0, max: 2 }),
    isGang: fc.boolean(),
    isSameRack: fc.boolean(),
    isFilling: fc.boolean(),
  });

/** Runs of up to four executors and jobs that wait. */
const scenario = (maxCpu = 16_000) =>
  fc.record({
    runs: fc.array(fc.array(running, { maxLength: 4 }), {
      minLength: 1,
      maxLength: 4,
    }),
    steps: fc.array(waiting(maxCpu), { minLength: 1, maxLength: 8 }),
  });

type Scenario = { runs: StepFields[][]; steps: StepFields[] };

function createWorld(
  { runs, steps }: Scenario,
): { executors: ExecutorState[]; jobs: Job[] } {
  const executors = runs.map((ofExecutor, index) => {
    const executor = createAnswering(`e${index}`);
    for (const fields of ofExecutor) {
      if (fields.cpu <= 16_000 - executor.occupied.cpu) {
        occupyBy(executor, fields);
      }
    }
    return executor;
  });
  return { executors, jobs: steps.map((step) => createWaiting(step)) };
}

function placeWithBook({ jobs, executors }: ReturnType<typeof createWorld>) {
  const book = createReservationBook(() => undefined);
  return placeAt(jobs, { executors, reservationsOf: () => book });
}

describe("reservations", () => {
  // Guards against tasks beyond the capacity of an executor.
  test("never let tasks exceed the capacity", () => {
    fc.assert(fc.property(scenario(), (drawn) => {
      const world = createWorld(drawn);
      const usedCpu = new Map(
        world.executors.map(({ id, occupied }) => [id, occupied.cpu]),
      );
      for (const [job, id] of placeWithBook(world)) {
        const { isFilling, size } = groupOf(job).step;
        if (!isFilling) usedCpu.set(id, usedCpu.get(id)! + size.cpu);
      }
      expect(Math.max(...usedCpu.values())).toBeLessThanOrEqual(16_000);
    }));
  });

  // Guards against room that is promised twice, or before it is free.
  test("never exceed what is expected to be free", () => {
    fc.assert(fc.property(scenario(), (drawn) => {
      const { executors, jobs } = createWorld(drawn);
      const candidates = executors.map(createCandidate);
      const reservations = startReservations(
        createReservationBook(() => undefined),
        { candidates, nowMs: NOW_MS, unixMs: NOW_MS },
      )!;
      for (const job of jobs) {
        reservations.reserve(groupOf(job), groupOf(job).tasks);
      }
      for (const { free, freed, reservations } of candidates) {
        for (const { atMs } of reservations) {
          const room = { ...free };
          for (const end of freed) {
            if (end.atMs <= atMs) addSize(room, end.size);
          }
          for (const other of reservations) {
            if (other.atMs <= atMs) addSize(room, other.size, -1);
          }
          const none = { cpu: 0, memoryMb: 0, accelerators: 0 };
          expect(isWithin(none, room)).toBe(true);
        }
      }
    }));
  });

  // Guards against reservations that act where nothing waits for them.
  test("change nothing while all tasks find room", () => {
    fc.assert(fc.property(scenario(4_000), (drawn) => {
      const world = createWorld(drawn);
      const { jobs, executors } = world;
      const without = placeAt(jobs, { executors });
      const count = jobs.reduce(
        (sum, job) => sum + groupOf(job).tasks.length,
        0,
      );
      fc.pre(without.length === count);
      expect(placeWithBook(world)).toEqual(without);
    }));
  });

  // Guards against promises to groups that are gone, which would keep their
  // jobs in memory.
  test("end with their jobs", () => {
    fc.assert(fc.property(scenario(), (drawn) => {
      const { executors, jobs } = createWorld(drawn);
      const book = createReservationBook(() => undefined);
      placeAt(jobs, { executors, reservationsOf: () => book });
      for (const job of jobs) job.endedAtMs = NOW_MS;
      book.endRound(NOW_MS);
      for (const job of jobs) {
        expect(book.executorsOf(groupOf(job))).toBeUndefined();
      }
      expect(book.startRound(NOW_MS + 1)).toBe("skip");
    }));
  });
});
