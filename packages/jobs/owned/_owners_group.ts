/**
 * Group of the store in memory that passes partitions on as the platform
 * documents it: only once their holder knows that it has lost them.
 *
 * @module
 */

import type { Store } from "../ports.ts";

/** Calls of the store that concern groups; there is one group only. */
export type OwnersGroup = Pick<Store, "join" | "leave" | "owners"> & {
  /** Assigns all partitions to other members at once. */
  reassign(): void;
};

type Member = { expiresAtMs: number };

/** Assignment of a partition. */
type Assignment = {
  /** Member that has it, until it joins with the generation of the change. */
  holder: string | undefined;
  /** Member that gets it. */
  target: string | undefined;
  changedAt: number;
};

/** Creates a group without members. */
export function createOwnersGroup(partitionCount: number): OwnersGroup {
  const members = new Map<string, Member>();
  const assignments = Array.from(
    { length: partitionCount },
    (): Assignment => ({ holder: undefined, target: undefined, changedAt: 0 }),
  );
  let generation = 0;
  let rotation = 0;

  const passOn = () => {
    for (const assignment of assignments) {
      assignment.holder ??= assignment.target;
    }
  };

  const assign = () => {
    generation++;
    const names = [...members.keys()].sort();
    for (const [partition, assignment] of assignments.entries()) {
      const target = names[(partition + rotation) % names.length];
      const { holder } = assignment;
      if (holder !== undefined && !members.has(holder)) {
        assignment.holder = undefined;
      }
      if (target === assignment.target) continue;
      assignment.target = target;
      assignment.changedAt = generation;
    }
    passOn();
  };

  const expire = () => {
    const nowMs = performance.now();
    for (const [name, { expiresAtMs }] of [...members]) {
      if (expiresAtMs > nowMs) continue;
      members.delete(name);
      assign();
    }
  };

  return {
    join({ member, ttlMs, generation: known }) {
      expire();
      const isNew = !members.has(member);
      members.set(member, { expiresAtMs: performance.now() + ttlMs });
      if (isNew) assign();
      for (const assignment of assignments) {
        const { holder, target, changedAt } = assignment;
        if (holder !== member || target === member) continue;
        if (known >= changedAt) assignment.holder = undefined;
      }
      passOn();
      const partitions = [...assignments.keys()].filter((partition) => {
        const { holder, target } = assignments[partition]!;
        return holder === member && target === member;
      });
      return Promise.resolve({ type: "joined", generation, partitions });
    },
    leave({ member }) {
      expire();
      if (members.delete(member)) assign();
      return Promise.resolve();
    },
    owners() {
      expire();
      return Promise.resolve(
        new Map(
          assignments.map(({ holder }, partition) => [partition, holder ?? ""]),
        ),
      );
    },
    reassign() {
      expire();
      rotation++;
      assign();
      for (const assignment of assignments) {
        assignment.holder = assignment.target;
      }
    },
  };
}
