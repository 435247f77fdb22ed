import {
  afterEach,
  beforeEach,
  describe,
  expect,
  jest,
  test,
} from "@jest/globals";
import { decodeKeys, encodeKeys } from "./_key_fixtures.ts";
import {
  type ConfigurationExchange,
  createConfigurationExchange,
} from "./configuration_exchange.ts";
import {
  createHeldConfiguration,
  type HeldConfiguration,
} from "./held_configuration.ts";
import { readInstant } from "./instant.ts";

const MEMBERS = Array.from({ length: 12 }, (_, index) => `m${index}`);

describe("createConfigurationExchange", () => {
  let held: HeldConfiguration;
  let isNeeded: boolean;
  let asked: string[];
  /** Members that hold the newest version. */
  let helpers: Set<string>;
  /** Time after which calls to the other members fail, in milliseconds. */
  let silenceMs: number;
  let exchange: ConfigurationExchange;

  beforeEach(() => {
    jest.useFakeTimers();
    held = createHeldConfiguration({
      decode: decodeKeys,
      onTaken: () => undefined,
      onUnreadable: () => undefined,
    });
    isNeeded = true;
    asked = [];
    helpers = new Set();
    silenceMs = 0;
    confirm(1);
    exchange = createConfigurationExchange({
      held,
      isNeeded: () => isNeeded,
      otherMembers: () => MEMBERS,
      findMembers: () => Promise.resolve(),
      onNewer: () => undefined,
      ask(address, { knownVersion }) {
        asked.push(address);
        if (!helpers.has(address)) return failLater();
        const record = knownVersion < 2 ? encodeKeys(2, []) : undefined;
        return Promise.resolve({ version: 2, ageMs: 700, record });
      },
    });
  });

  afterEach(() => {
    exchange.close();
    jest.useRealTimers();
  });

  function failLater(): Promise<undefined> {
    if (silenceMs === 0) return Promise.resolve(undefined);
    return new Promise((resolve) =>
      setTimeout(() => resolve(undefined), silenceMs)
    );
  }

  function confirm(version: number): void {
    const source = held.createSource();
    source.offer(encodeKeys(version, ["a"]));
    source.confirm(readInstant());
  }

  // Guards against messages between members that nobody needs.
  test.each([
    { what: "the store answers", needed: true, isAnswering: true },
    { what: "no calls need keys", needed: false, isAnswering: false },
  ])("asks nobody while $what", async ({ needed, isAnswering }) => {
    isNeeded = needed;
    for (let second = 0; second < 10; second++) {
      if (isAnswering) confirm(1);
      await jest.advanceTimersByTimeAsync(1_000);
    }
    expect(asked).toEqual([]);
  });

  // Guards against a member that is cut off from the store and refuses calls
  // with keys, although one of the other members has what it needs.
  test("finds the member that has the configuration, and stays", async () => {
    helpers.add("m7");
    await jest.advanceTimersByTimeAsync(4_000);
    expect(held.current()?.version).toBe(2);
    asked = [];
    for (let tenth = 0; tenth < 100; tenth++) {
      await jest.advanceTimersByTimeAsync(100);
      expect(held.ageMs()).toBeLessThan(2_000);
    }
    expect(asked).toContain("m7");
  });

  // Guards against silent members that keep the one that answers from being
  // asked.
  test("asks the member that helps while others are silent", async () => {
    helpers.add("m7");
    await jest.advanceTimersByTimeAsync(4_000);
    silenceMs = 2_000;
    for (let tenth = 0; tenth < 100; tenth++) {
      await jest.advanceTimersByTimeAsync(100);
      expect(held.ageMs()).toBeLessThan(2_000);
    }
  });

  // Guards against a flood of messages from members that are all cut off.
  test("asks a few members at a time", async () => {
    await jest.advanceTimersByTimeAsync(60_000);
    expect(asked.length).toBeGreaterThan(MEMBERS.length);
    expect(asked.length).toBeLessThan(60 * 3 / 0.4 + 1);
    expect(new Set(asked).size).toBe(MEMBERS.length);
  });
});
