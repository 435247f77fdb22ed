import {
  afterEach,
  beforeEach,
  describe,
  expect,
  jest,
  test,
} from "@jest/globals";
import { advanceTime } from "../_fixtures.ts";
import { createRelays, type Relays } from "./relays.ts";

describe("createRelays", () => {
  let isStoreAway: boolean;
  let answers: Map<string, boolean | undefined>;
  let asked: number;
  let relays: Relays;

  beforeEach(() => {
    jest.useFakeTimers();
    isStoreAway = true;
    asked = 0;
    answers = new Map([["a:1", true], ["b:1", false], ["c:1", undefined]]);
    relays = createRelays({
      isStoreAway: () => isStoreAway,
      others: () => [...answers.keys()],
      reach(address) {
        asked++;
        return Promise.resolve(answers.get(address));
      },
    });
  });

  afterEach(() => {
    relays.close();
    jest.useRealTimers();
  });

  // Guards against records for members that may store them and not say so.
  test("names only members that reach the store", async () => {
    await advanceTime(500);
    expect(relays.reachable()).toEqual(["a:1"]);
    answers.set("a:1", undefined);
    await advanceTime(500);
    expect(relays.reachable()).toEqual([]);
  });

  // Guards against calls between members on calm days.
  test("asks nobody while the store answers", async () => {
    isStoreAway = false;
    await advanceTime(500);
    const before = asked;
    await advanceTime(3_000);
    expect(asked).toBe(before);
    expect(relays.reachable()).toEqual([]);
  });
});
