import { describe, expect, test } from "@jest/globals";
import {
  advanceScheduler,
  createScheduler,
  type QueuedRequest,
  type Topology,
} from "./mod.ts";

const TOPOLOGY: Topology = {
  pools: [
    { name: "huye", hosts: [{ name: "h1", slots: [0, 1], isLeaving: false }] },
    { name: "spare", hosts: [{ name: "s1", slots: [4], isLeaving: false }] },
  ],
  services: [
    {
      name: "huye",
      pool: "huye",
      sharePercent: 100,
      overflow: ["spare"],
      runTimeMs: 100,
    },
    {
      name: "spare",
      pool: "spare",
      sharePercent: 100,
      overflow: ["huye"],
      runTimeMs: 100,
    },
  ],
};

function createRequest(
  id: string,
  options: Partial<QueuedRequest> = {},
): QueuedRequest {
  return {
    id,
    service: "huye",
    urgency: "normal",
    arrivedAtMs: 0,
    deadlineAtMs: 2_000,
    isForwarded: false,
    excludedHosts: [],
    ...options,
  };
}

function arrive(id: string, options: Partial<QueuedRequest> = {}) {
  return { type: "arrived", request: createRequest(id, options) } as const;
}

describe("advanceScheduler", () => {
  // Guards against borrowed slots that do not return to their owner first.
  test("gives a free slot to the owner before borrowers", () => {
    const state = createScheduler({ topology: TOPOLOGY });
    const starts = ["a", "b", "c", "d"].flatMap((id) =>
      advanceScheduler(state, arrive(id), 0)
    );
    expect(starts).toEqual([
      { type: "start", id: "a", host: "h1", slot: 0 },
      { type: "start", id: "b", host: "h1", slot: 1 },
      { type: "start", id: "c", host: "s1", slot: 4 },
    ]);
    expect(advanceScheduler(state, arrive("o", { service: "spare" }), 1))
      .toEqual([]);
    const finished = {
      type: "finished",
      id: "c",
      host: "s1",
      slot: 4,
      runMs: 50,
      result: "succeeded",
    } as const;
    expect(advanceScheduler(state, finished, 50))
      .toEqual([{ type: "start", id: "o", host: "s1", slot: 4 }]);
  });
});
