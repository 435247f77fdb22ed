import {
  afterEach,
  beforeEach,
  describe,
  expect,
  jest,
  test,
} from "@jest/globals";
import { advanceTime } from "../_fixtures.ts";
import { createRelayMonitor, type RelayMonitor } from "./relay_monitor.ts";

describe("createRelayMonitor", () => {
  let isStoreUnreachable: boolean;
  let answers: Map<string, boolean | undefined>;
  let probes: number;
  let monitor: RelayMonitor;

  beforeEach(() => {
    jest.useFakeTimers();
    isStoreUnreachable = true;
    probes = 0;
    answers = new Map([["a:1", true], ["b:1", false], ["c:1", undefined]]);
    monitor = createRelayMonitor({
      isStoreUnreachable: () => isStoreUnreachable,
      otherMembers: () => [...answers.keys()],
      reach(address) {
        probes++;
        return Promise.resolve(answers.get(address));
      },
    });
  });

  afterEach(() => {
    monitor.close();
    jest.useRealTimers();
  });

  // Guards against relaying records to members that may store them without
  // answering.
  test("lists only members that reach the store", async () => {
    await advanceTime(500);
    expect(monitor.reachableAddresses()).toEqual(["a:1"]);
    answers.set("a:1", undefined);
    await advanceTime(500);
    expect(monitor.reachableAddresses()).toEqual([]);
  });

  // Guards against needless calls between members in normal operation.
  test("probes no member while the store is reachable", async () => {
    isStoreUnreachable = false;
    await advanceTime(500);
    const before = probes;
    await advanceTime(3_000);
    expect(probes).toBe(before);
    expect(monitor.reachableAddresses()).toEqual([]);
  });
});
