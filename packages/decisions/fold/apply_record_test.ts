/**
 * Tests of duplicate, malformed and conflicting records, and of membership.
 *
 * @module
 */

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

function createSetChange(expectedVersion: number, operator = "ana") {
  const change = { put: emptyObjectSet(), removed: [] };
  return { type: "set.changed", expectedVersion, change, operator };
}

function createJoin(member: string, incarnation: string) {
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
  // Guards against two operators who are both told that their conflicting
  // changes took effect.
  test("applies one of two set changes that expect the same version", () => {
    const state = emptyFleetState();
    expect(append(state, createSetChange(0, "ana"), "a").type).toBe("applied");
    const second = append(state, createSetChange(0, "ben"), "b");
    expect(second).toMatchObject({
      type: "refused",
      reason: expect.stringContaining(`"ana" published version 1`),
    });
    expect(state.setVersion).toBe(1);
    expect(findRecordOutcome(state, "b")?.outcome).toEqual(second);
  });

  // Guards against a second effect of an append that is retried because its
  // answer was lost.
  test("folds a record id once", () => {
    const state = emptyFleetState();
    append(state, createJoin("e1", "i1"), "same");
    expect(append(state, createJoin("e1", "i2"), "same").type).toBe(
      "duplicate",
    );
    expect(state.members.get("e1")?.incarnation).toBe("i1");
    expect(state.generation).toBe(1);
  });

  // Guards against a malformed body that stops all daemons, since each of them
  // folds it.
  test.each([null, 7, "x", {}, { type: "set.changed" }, [1]])(
    "refuses the malformed body %j",
    (body) => {
      const state = emptyFleetState();
      expect(append(state, body).type).toBe("refused");
      expect(state.nextOffset).toBe(1);
    },
  );

  // Guards against membership changes by an ended process, or by a member that
  // is not the watcher.
  test("replaces an incarnation and refuses records of the old one", () => {
    const state = emptyFleetState();
    const steps: [unknown, string][] = [
      [createJoin("e1", "i1"), "applied"],
      [createJoin("e2", "i1"), "applied"],
      [createJoin("e1", "i2"), "applied"],
      [createJoin("e1", "i1"), "refused"],
      [{ type: "member.left", member: "e1", incarnation: "i1" }, "refused"],
      [createWatcherRecord("member.lost", "e2"), "refused"],
      [createWatcherRecord("member.watched", "e2"), "applied"],
      [createWatcherRecord("member.lost", "e2"), "applied"],
      [createJoin("e1", "i2"), "refused"],
    ];
    for (const [body, type] of steps) {
      expect([body, append(state, body).type]).toEqual([body, type]);
    }
    expect(state.generation).toBe(4);
  });

  // Guards against a member that is its own watcher, or whose watcher is not a
  // member of the same data centre and cannot report its loss.
  test.each([
    ["e2", "e2"],
    ["e1", undefined],
    ["far", undefined],
    ["absent", undefined],
  ])(
    "for a join with the watcher %s sets the watcher %s",
    (watcher, expected) => {
      const state = emptyFleetState();
      append(state, createJoin("e2", "i1"));
      append(state, { ...createJoin("far", "i1"), dataCentre: "cleveland" });
      append(state, createJoin("e1", "i1"));
      append(state, { ...createJoin("e1", "i2"), watcher });
      expect(state.members.get("e1")).toMatchObject({ incarnation: "i2" });
      expect(state.members.get("e1")?.watcher).toBe(expected);
    },
  );
});

function createWatcherRecord(type: string, watcher: string) {
  return { type, member: "e1", incarnation: "i2", watcher };
}
