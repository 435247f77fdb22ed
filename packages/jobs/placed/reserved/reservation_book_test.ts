import { describe, expect, test } from "@jest/globals";
import {
  createAnswering,
  createWaiting,
  groupOf,
  occupyBy,
} from "./_reservation_fixtures.ts";
import {
  createReservationBook,
  type ReservationEvent,
} from "./reservation_book.ts";
import { createReservationBooks, mayReserve } from "./reservation_books.ts";

function createFixture(count = 1) {
  const events: ReservationEvent[] = [];
  const book = createReservationBook((event) => events.push(event));
  const group = groupOf(createWaiting({ cpu: 16_000, count }));
  const promise = (nowMs: number, atMs: number, tasks = 1) =>
    book.promise(group, { nowMs, atMs, tasks, executors: new Set(["e1"]) });
  return { book, group, events, promise };
}

describe("a book of reservations", () => {
  // Guards against room that is held empty by estimates that are wrong, and
  // against a group that gets no second chance.
  test("holds off after a promise that is missed, for longer each time", () => {
    const { book, group, events, promise } = createFixture();
    promise(0, 1_000);
    expect(book.mayReserve(group, 1_500)).toBe(true);
    expect(book.mayReserve(group, 1_501)).toBe(false);
    expect(events.at(-1)).toMatchObject({ type: "missed", waitedMs: 1_501 });
    expect(book.mayReserve(group, 2_501)).toBe(true);
    promise(2_501, 2_501);
    expect(book.mayReserve(group, 3_002)).toBe(false);
    expect(book.mayReserve(group, 5_001)).toBe(false);
    expect(book.mayReserve(group, 5_002)).toBe(true);
  });

  // Guards against a promise that moves on and on and is never missed.
  test("counts from the first promise as it moves", () => {
    const { book, group, events, promise } = createFixture();
    for (let nowMs = 0; nowMs <= 1_500; nowMs += 100) {
      expect(book.mayReserve(group, nowMs)).toBe(true);
      promise(nowMs, 1_000 + nowMs);
    }
    expect(book.mayReserve(group, 1_600)).toBe(false);
    const moved = events.filter(({ type }) => type === "moved");
    expect(moved.length).toBeGreaterThan(0);
    expect(moved.length).toBeLessThan(10);
  });

  // Guards against a step of many tasks whose promise counts as missed though
  // the promised ones of them run.
  test("keeps a promise to some tasks of a step once they run", () => {
    const { book, group, events, promise } = createFixture(4);
    promise(0, 1_000, 2);
    for (const task of group.tasks.slice(0, 2)) {
      task.runs.push(occupyBy(createAnswering("e1"), { cpu: 1 }));
    }
    expect(book.mayReserve(group, 2_000)).toBe(true);
    expect(events.map(({ type }) => type)).toEqual(["made", "kept"]);
  });

  // Guards against a log line in every few rounds for one and the same promise.
  test("keeps a promise over rounds that do not renew it", () => {
    const { book, events, promise } = createFixture();
    for (let nowMs = 0; nowMs < 900; nowMs += 100) {
      if (nowMs % 400 === 0) promise(nowMs, 1_000);
      book.endRound(nowMs);
    }
    expect(events).toHaveLength(1);
  });

  // Guards against room for a group that waits for nothing any more.
  test("gives up a promise that is not renewed", () => {
    const { book, group, promise } = createFixture();
    promise(0, 1_000);
    book.endRound(500);
    expect(book.executorsOf(group)).toBeDefined();
    book.endRound(501);
    expect(book.executorsOf(group)).toBeUndefined();
  });

  // Guards against a log that does not say which promise was kept.
  test("logs what becomes of promises", () => {
    const logged: string[] = [];
    const books = createReservationBooks({
      log: (name, fields) => logged.push(`${name} ${JSON.stringify(fields)}`),
    });
    const { group } = createFixture();
    const executors = new Set(["e1"]);
    books.bookOf("quoting")
      .promise(group, { nowMs: 0, atMs: 800, tasks: 1, executors });
    group.tasks[0]!.isDone = true;
    books.endRound(700);
    expect(logged).toEqual([
      expect.stringMatching(
        /^roomReserved .*"tasks":1,"cpu":16000,"aheadMs":800/,
      ),
      expect.stringMatching(/^reservationOver .*"isKept":true,"waitedMs":700/),
    ]);
  });

  // Guards against reservations where nothing asks for them.
  test("is used only where the settings ask for it", () => {
    const view = { configuration: () => undefined };
    expect(mayReserve({ view })).toBe(false);
    expect(mayReserve({ reservesRoom: "never", view })).toBe(false);
    expect(mayReserve({ reservesRoom: "organisations", view })).toBe(false);
    expect(mayReserve({ reservesRoom: "always", view })).toBe(true);
  });
});
