import { describe, expect, test } from "@jest/globals";
import type { ExecutorState } from "../../executor_state.ts";
import type { Job } from "../../job.ts";
import {
  createAnswering,
  createWaiting,
  groupOf,
  NOW_MS,
  occupyBy,
  placeAt,
  type StepFields,
} from "./_reservation_fixtures.ts";
import {
  createReservationBook,
  type ReservationEvent,
} from "./reservation_book.ts";

/** Task that would run for longer than any reservation looks ahead. */
const LONG: StepFields = { cpu: 4_000, estimateMs: 5_000 };

/** Places with a book of its own; returns the events as well. */
function reserve(
  jobs: readonly Job[],
  executors: readonly ExecutorState[],
  options: Partial<Parameters<typeof placeAt>[1]> = {},
) {
  const events: ReservationEvent[] = [];
  const book = createReservationBook((event) => events.push(event));
  const reservationsOf = () => book;
  const placed = placeAt(jobs, { executors, reservationsOf, ...options });
  return { placed, events };
}

describe("room that is reserved", () => {
  // Guards against small tasks that take each gap before a large one fits.
  test("is left by tasks that do not end before", () => {
    const e1 = createAnswering("e1");
    occupyBy(e1, { cpu: 10_000, estimateMs: 400 });
    const large = createWaiting({ cpu: 16_000, estimateMs: 500 });
    const long = createWaiting(LONG, { objectiveMs: 20_000 });
    const short = createWaiting({ cpu: 4_000, estimateMs: 100 }, {
      objectiveMs: 20_000,
    });
    const { placed, events } = reserve([large, long, short], [e1]);
    expect(placed).toEqual([[short, "e1"]]);
    expect(events).toMatchObject([{ type: "made", group: groupOf(large) }]);
  });

  // Guards against a gang that never gets room, as one of its tasks fits.
  test("is for all tasks of a gang of which one fits now", () => {
    const executors = [createAnswering("e1"), createAnswering("e2")];
    occupyBy(executors[1]!, { cpu: 12_000, estimateMs: 300 });
    const gang = createWaiting({ cpu: 14_000, count: 2, isGang: true });
    const long = createWaiting(LONG, { objectiveMs: 20_000 });
    const { placed, events } = reserve([gang, long], executors);
    expect(placed).toEqual([]);
    expect(events).toMatchObject([{ type: "made", tasks: 2 }]);
  });

  // Guards against room for a part of a gang whose other tasks run or are held.
  test("is not for a part of a gang", () => {
    const e1 = createAnswering("e1");
    occupyBy(e1, { cpu: 12_000, estimateMs: 300 });
    const before = createWaiting({ cpu: 8_000, isFilling: false });
    const gang = createWaiting({ cpu: 8_000, count: 2, isGang: true });
    groupOf(gang).tasks[0]!.heldUntilMs = Infinity;
    before.accepted.acceptedAtMs = -1;
    const { events } = reserve([before, gang], [e1]);
    expect(events.map(({ group }) => group)).not.toContain(groupOf(gang));
  });

  // Guards against tasks that leave the room of the last reservation, but not
  // that of an earlier one.
  test("is left at the time of each reservation", () => {
    const e1 = createAnswering("e1");
    occupyBy(e1, { cpu: 4_000, estimateMs: 200 });
    occupyBy(e1, { cpu: 8_000, estimateMs: 1_000 });
    const first = createWaiting({ cpu: 8_000 }, { objectiveMs: 9_000 });
    const second = createWaiting({ cpu: 4_100 }, { objectiveMs: 9_500 });
    const long = createWaiting({ ...LONG, cpu: 3_000 });
    const { placed } = reserve([first, second, long], [e1]);
    expect(placed).toEqual([]);
  });

  // Guards against requests to the advice service for executors without room.
  test("requires no tickets", () => {
    const e1 = createAnswering("e1");
    occupyBy(e1, { cpu: 10_000, estimateMs: 400 });
    const large = createWaiting({ cpu: 16_000 });
    let requests = 0;
    const mayRun = () => ++requests > 0;
    const { events } = reserve([large], [e1], { mayRun });
    expect(events).toMatchObject([{ type: "made" }]);
    expect(requests).toBe(0);
  });

  // Guards against room that waits for a task that its executor may not run.
  test("is not on an executor that is known to lack a ticket", () => {
    const e1 = createAnswering("e1");
    occupyBy(e1, { cpu: 10_000, estimateMs: 400 });
    const isRefused = () => true;
    const large = createWaiting({ cpu: 16_000 });
    expect(reserve([large], [e1], { isRefused }).events).toEqual([]);
  });

  // Guards against room that is lost while its ticket is requested.
  test("is kept for a task whose ticket is requested", () => {
    const e1 = createAnswering("e1");
    const large = createWaiting({ cpu: 16_000 }, { objectiveMs: 8_000 });
    const long = createWaiting(LONG, { objectiveMs: 20_000 });
    const mayRun = ({ job }: { job: Job }) => job !== large;
    const { placed } = reserve([large, long], [e1], { mayRun });
    expect(placed).toEqual([]);
  });

  // Guards against jobs that fit on no executor at all and so keep others from
  // reservations.
  test("is not used up by jobs that can never fit", () => {
    const e1 = createAnswering("e1");
    occupyBy(e1, { cpu: 10_000, estimateMs: 400 });
    const hopeless = Array.from(
      { length: 10 },
      () => createWaiting({ cpu: 17_000 }, { objectiveMs: 5_000 }),
    );
    const large = createWaiting({ cpu: 16_000 });
    const { events } = reserve([...hopeless, large], [e1]);
    expect(events).toMatchObject([{ type: "made", group: groupOf(large) }]);
  });

  // Guards against a stopped lasting task that finds its place reserved.
  test("is open to lasting tasks", () => {
    const [e1, e2] = [createAnswering("e1"), createAnswering("e2")];
    occupyBy(e1, { cpu: 10_000, estimateMs: 400 });
    occupyBy(e2, { cpu: 16_000, isLasting: true });
    const first = createWaiting({ cpu: 16_000, isLasting: true }, {
      objectiveMs: 5_000,
    });
    const second = createWaiting({ cpu: 4_000, isLasting: true });
    const { placed } = reserve([first, second], [e1, e2]);
    expect(placed).toEqual([[second, "e1"]]);
  });

  // Guards against filling tasks that hold room empty.
  test("is not for filling tasks", () => {
    const e1 = createAnswering("e1");
    const size = { cpu: 1, memoryMb: 32_768, accelerators: 0 };
    occupyBy(e1, { cpu: 1, estimateMs: 300, size });
    const fill = createWaiting({ cpu: 1, size, isFilling: true });
    expect(reserve([fill], [e1]).events).toEqual([]);
  });

  // Guards against more tasks of a step on one executor than it allows.
  test("keeps to the most tasks of a step on one executor", () => {
    const e1 = createAnswering("e1");
    const step = { cpu: 6_000, count: 3, maxPerExecutor: 2, estimateMs: 600 };
    const spread = createWaiting(step);
    const run = occupyBy(e1, { cpu: 6_000, estimateMs: 600 });
    run.task.group = groupOf(spread);
    groupOf(spread).tasks[0]!.runs.push(run);
    occupyBy(e1, { cpu: 8_000, estimateMs: 300 });
    const { events } = reserve([spread], [e1]);
    expect(events).toMatchObject([{ type: "made", tasks: 1 }]);
  });

  // Guards against a round that looks for room for each of many waiting groups.
  test("is looked for only for a few groups at once, each in its turn", () => {
    const e1 = createAnswering("e1");
    occupyBy(e1, { cpu: 16_000, estimateMs: 60_000 });
    const jobs = Array.from(
      { length: 20 },
      () => createWaiting({ cpu: 1_000 }),
    );
    const asked = new Set<Job>();
    const isRefused = ({ job }: { job: Job }) => asked.add(job).size < 0;
    const book = createReservationBook(() => undefined);
    const options = { executors: [e1], isRefused, reservationsOf: () => book };
    const counts = [0, 1, 2].map((round) => {
      placeAt(jobs, { ...options, monotonicMs: NOW_MS + 250 * round });
      return asked.size;
    });
    expect(counts[0]).toBeLessThanOrEqual(8);
    expect(counts).toEqual([...counts].sort((left, right) => left - right));
    expect(asked.size).toBeGreaterThan(counts[0]!);
  });
});
