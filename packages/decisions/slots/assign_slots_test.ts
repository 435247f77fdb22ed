/**
 * Tests of the assignment of slots to entry hosts.
 *
 * @module
 */

import { describe, expect, test } from "@jest/globals";
import fc from "fast-check";
import { assignSlots, type SlotMember } from "./assign_slots.ts";

const DATA_CENTRE = "detroit";

function createMembers(numbers: Iterable<number>): SlotMember[] {
  return [...numbers].map((number) => ({
    name: `entry-${number}`,
    dataCentre: DATA_CENTRE,
  }));
}

const hosts = Array.from({ length: 12 }, (_, index) => ({
  name: `quoting-${index}`,
  dataCentre: DATA_CENTRE,
  slots: 8,
}));

const memberNumbers = fc.uniqueArray(fc.nat(60), {
  minLength: 1,
  maxLength: 12,
});

describe("assignSlots()", () => {
  // Guards against slots without an owner, and against uneven shares of an
  // executor.
  test("gives each slot one owner in even shares", () => {
    fc.assert(fc.property(memberNumbers, (numbers) => {
      const members = createMembers(numbers);
      for (const owners of assignSlots({ hosts, members }).values()) {
        const shares = members.map(({ name }) =>
          owners.filter((owner) => owner === name).length
        );
        expect(shares.reduce((sum, share) => sum + share)).toBe(8);
        expect(Math.max(...shares) - Math.min(...shares)).toBeLessThan(2);
      }
    }));
  });

  // Guards against entry hosts that compute different owners because they list
  // the members in a different order.
  test("does not depend on the order of the members", () => {
    fc.assert(fc.property(memberNumbers, (numbers) => {
      const members = createMembers(numbers);
      expect(assignSlots({ hosts, members: members.toReversed() }))
        .toEqual(assignSlots({ hosts, members }));
    }));
  });

  // Guards against a join that moves most of the slots. The new member's share
  // has to move; the bound is twice that, since the limit to even shares moves
  // further slots.
  test.each([2, 3, 5, 8])("moves few slots when member %i joins", (count) => {
    const members = createMembers(Array.from({ length: count }, (_, i) => i));
    const after = assignSlots({ hosts, members });
    const before = assignSlots({ hosts, members: members.slice(0, -1) });
    let moved = 0;
    for (const [host, owners] of after) {
      moved += owners.filter((owner, slot) => owner !== before.get(host)![slot])
        .length;
    }
    expect(moved).toBeLessThanOrEqual(2 * Math.ceil(8 / count) * hosts.length);
  });

  // Guards against assigning a slot to an entry host of another data centre.
  test("assigns no owner if the data centre has no entry host", () => {
    const members = [{ name: "entry-1", dataCentre: "cleveland" }];
    expect(assignSlots({ hosts, members }).get("quoting-0"))
      .toEqual(new Array(8).fill(undefined));
  });
});
