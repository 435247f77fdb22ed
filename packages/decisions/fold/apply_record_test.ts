import { describe, expect, test } from "@jest/globals";
import { emptyObjectSet } from "@lagoonloom/objects";
import { applyRecord } from "./apply_record.ts";
import { emptyFleetState, type FleetState } from "./fleet_state.ts";
import { findRecordOutcome } from "./record_outcome.ts";

function append(state: FleetState, body: unknown, id?: string) {
  const offset = state.nextOffset;
  return applyRecord(state, {
    offset,
    timeMs: 1_000 * offset,
    id: id ?? `r${offset}`,
    body,
  });
}

function publication(expectedVersion: number, operator = "ana") {
  const change = { put: emptyObjectSet(), removed: [] };
  return { type: "set.changed", expectedVersion, change, operator };
}

function join(member: string, incarnation: string) {
  return {
    type: "member.joined",
    member,
    incarnation,
    dataCentre: "detroit",
    peerAddress: "127.0.0.1:1",
    operatorAddress: "127.0.0.1:2",
  };
}

describe("applyRecord", () => {
  // Guards against two operators both being told that they won.
  test("accepts one of two publications of the same version", () => {
    const state = emptyFleetState();
    expect(append(state, publication(0, "ana"), "a").type).toBe("applied");
    const second = append(state, publication(0, "ben"), "b");
    expect(second).toMatchObject({
      type: "refused",
      reason: expect.stringContaining(`"ana" published version 1`),
    });
    expect(state.setVersion).toBe(1);
    expect(findRecordOutcome(state, "b")?.outcome).toEqual(second);
  });

  // Guards against a retry after a lost answer having a second effect.
  test("folds a record id once", () => {
    const state = emptyFleetState();
    append(state, join("e1", "i1"), "same");
    expect(append(state, join("e1", "i2"), "same").type).toBe("duplicate");
    expect(state.members.get("e1")?.incarnation).toBe("i1");
    expect(state.generation).toBe(1);
  });

  // Guards against a malformed body stopping every daemon.
  test.each([null, 7, "x", {}, { type: "set.changed" }, [1]])(
    "refuses the malformed body %j",
    (body) => {
      const state = emptyFleetState();
      expect(append(state, body).type).toBe("refused");
      expect(state.nextOffset).toBe(1);
    },
  );

  // Guards against an ended entry host or a stranger changing the slots.
  test("replaces an incarnation and fences the old one", () => {
    const state = emptyFleetState();
    const steps: [unknown, string][] = [
      [join("e1", "i1"), "applied"],
      [join("e2", "i1"), "applied"],
      [join("e1", "i2"), "applied"],
      [join("e1", "i1"), "refused"],
      [{ type: "member.left", member: "e1", incarnation: "i1" }, "refused"],
      [watch("member.lost", "e2"), "refused"],
      [watch("member.watched", "e2"), "applied"],
      [watch("member.lost", "e2"), "applied"],
      [join("e1", "i2"), "refused"],
    ];
    for (const [body, type] of steps) {
      expect([body, append(state, body).type]).toEqual([body, type]);
    }
    expect(state.generation).toBe(4);
  });

  // Guards against a watcher that cannot report a loss, or reports itself.
  test.each([
    ["e2", "e2"],
    ["e1", undefined],
    ["far", undefined],
    ["absent", undefined],
  ])("joins with the watcher %s as %s", (watcher, expected) => {
    const state = emptyFleetState();
    append(state, join("e2", "i1"));
    append(state, { ...join("far", "i1"), dataCentre: "cleveland" });
    append(state, join("e1", "i1"));
    append(state, { ...join("e1", "i2"), watcher });
    expect(state.members.get("e1")).toMatchObject({ incarnation: "i2" });
    expect(state.members.get("e1")?.watcher).toBe(expected);
  });
});

function watch(type: string, watcher: string) {
  return { type, member: "e1", incarnation: "i2", watcher };
}
