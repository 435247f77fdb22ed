import { describe, expect, test } from "@jest/globals";
import {
  applyRecord,
  emptyFleetState,
  encodeCheckpoint,
  type FleetState,
} from "@lagoonloom/decisions";
import { createLargeDeployment } from "../measure/capacity/deployments.ts";
import { createFleetSet } from "../standins/fleet/mod.ts";
import { encodeInTurns } from "./encode_in_turns.ts";

function createState(): FleetState {
  const state = emptyFleetState();
  const { shape } = createLargeDeployment(3_600);
  const change = { put: createFleetSet(shape), removed: [] };
  const operator = "ana";
  const body = { type: "set.changed", expectedVersion: 0, change, operator };
  applyRecord(state, { offset: 0, timeMs: 0, id: "set", body });
  return state;
}

function recordHostFailure(state: FleetState, host: string): void {
  const offset = state.nextOffset;
  const observed = { generation: 0, health: "failed", reason: "test" };
  const body = { type: "host.observed", host, ...observed };
  applyRecord(state, { offset, timeMs: offset, id: `r${offset}`, body });
}

// Guards against a checkpoint that mixes the states of two offsets.
describe("encodeInTurns()", () => {
  test.each([
    ["nothing", 0],
    ["three records", 3],
    ["a record in each turn", Infinity],
  ])("encodes one state while %s is folded", async (_name, records) => {
    const state = createState();
    const names = [...state.hosts.keys()];
    let remaining = records;
    const encoding = encodeInTurns(() => state);
    let isDone = false;
    void encoding.then(() => {
      isDone = true;
    });
    while (!isDone) {
      if (remaining-- > 0) recordHostFailure(state, names.pop()!);
      await new Promise((resolve) => setImmediate(resolve));
    }
    const { offset, chunks } = await encoding;
    const end = state.nextOffset;
    // If records arrive without end, one may be folded after the encoding.
    expect(end - offset).toBeLessThanOrEqual(records === Infinity ? 1 : 0);
    if (offset === end) expect(chunks).toEqual(encodeCheckpoint(state));
    expect(JSON.parse(chunks.join(""))).toMatchObject({ nextOffset: offset });
  });
});
