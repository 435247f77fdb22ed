import { describe, expect, test } from "@jest/globals";
import { type Holder, rankRefused } from "./choose_refused.ts";

type NamedHolder = Holder & { name: string };

function createHolder(name: string, changes: Partial<Holder> = {}) {
  return {
    name,
    heldBytes: 12_000,
    openRequests: 1,
    isReceiving: true,
    unreadBytes: 0,
    answeredRequests: 0,
    stalledMs: 0,
    ...changes,
  };
}

function namesOf(holders: readonly NamedHolder[]): string[] {
  return rankRefused(holders).map(({ name }) => name);
}

describe("rankRefused()", () => {
  // Guards against refusing a caller that has sent its request and waits.
  test("never names a client that only waits", () => {
    const waiting = createHolder("waiting", {
      isReceiving: false,
      heldBytes: 300_000,
      stalledMs: 60_000,
    });
    expect(namesOf([waiting])).toEqual([]);
  });

  // Guards against refusing a slow caller before a body that has stopped.
  test("names a body that stopped before one that still arrives", () => {
    const holders = [
      createHolder("slow", { heldBytes: 262_144, stalledMs: 200 }),
      createHolder("stopped", { heldBytes: 262_144, stalledMs: 4_000 }),
    ];
    expect(namesOf(holders)).toEqual(["stopped", "slow"]);
  });

  // Guards against closing idle connections of callers before those that hold
  // memory, or those on which nothing was ever asked.
  test("names idle connections last", () => {
    const holders = [
      createHolder("idle", {
        openRequests: 0,
        isReceiving: false,
        answeredRequests: 3,
        stalledMs: 9_000,
      }),
      createHolder("silent", {
        openRequests: 0,
        isReceiving: false,
        stalledMs: 1_000,
      }),
      createHolder("ahead", { openRequests: 90, heldBytes: 2_000_000 }),
      createHolder("unread", {
        openRequests: 0,
        isReceiving: false,
        unreadBytes: 50_000,
        answeredRequests: 400,
        heldBytes: 62_000,
        stalledMs: 5_000,
      }),
    ];
    expect(namesOf(holders)).toEqual(["unread", "silent", "ahead", "idle"]);
  });
});
