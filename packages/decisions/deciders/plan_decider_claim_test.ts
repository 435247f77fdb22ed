/**
 * Tests of the leases of deciders.
 *
 * @module
 */

import { describe, expect, test } from "@jest/globals";
import { emptyFleetState, type FleetState } from "../fold/mod.ts";
import { getActiveTerm } from "./get_active_term.ts";
import { DECIDER_LEASE_MS, planDeciderClaim } from "./plan_decider_claim.ts";

const scope = "detroit";

function createState(): FleetState {
  const state = emptyFleetState();
  for (
    const [name, dataCentre] of [["a", "cleveland"], ["b", scope], ["c", scope]]
  ) {
    state.members.set(name!, {
      name: name!,
      incarnation: "i1",
      dataCentre: dataCentre!,
      peerAddress: "",
      operatorAddress: "",
      watcher: undefined,
      joinedAtMs: 0,
    });
  }
  const leaseEndMs = DECIDER_LEASE_MS;
  state.deciders.set(scope, {
    holder: "b",
    incarnation: "i1",
    epoch: 3,
    leaseEndMs,
  });
  return state;
}

describe("planDeciderClaim", () => {
  // Guards against claims of all daemons at once, a scope that stays free, and
  // a renewal that changes the epoch and thus invalidates records on their way.
  test.each([
    ["b i1", 4_000, undefined],
    ["b i1", 6_000, 3],
    ["c i1", 14_999, undefined],
    ["b i1", 15_000, 4],
    ["c i1", 15_500, undefined],
    ["c i1", 16_000, 4],
    ["a i1", 16_500, undefined],
    ["a i1", 17_000, 4],
    ["b i0", 20_000, undefined],
    ["x i1", 20_000, undefined],
  ])(
    "for member %s at %i ms claims epoch %s",
    (who, nowMs, epoch) => {
      const [holder = "", incarnation = ""] = who.split(" ");
      const options = { scope, holder, incarnation, nowMs };
      const body = planDeciderClaim(createState(), options)?.body;
      expect(body).toEqual(
        epoch === undefined ? undefined : expect.objectContaining({ epoch }),
      );
    },
  );
});

describe("getActiveTerm", () => {
  // Guards against a daemon that appends after a pause beyond its lease.
  test.each([
    ["b i1", 12_999, { scope, epoch: 3 }],
    ["b i1", 13_000, undefined],
    ["b i2", 1_000, undefined],
    ["c i1", 1_000, undefined],
  ])("for member %s at %i ms returns %j", (who, nowMs, expected) => {
    const [holder = "", incarnation = ""] = who.split(" ");
    const options = { scope, holder, incarnation, nowMs };
    expect(getActiveTerm(createState(), options)).toEqual(expected);
  });
});
