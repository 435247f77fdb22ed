import { describe, expect, test } from "@jest/globals";
import fc from "fast-check";
import { assignSlots } from "./assign_slots.ts";
import { slotBasis } from "./slot_basis.ts";
import {
  changeSlotOwners,
  createSlotHandover,
  delayTakeOver,
  dropAllSlots,
  heldSlots,
  recordSlotUsage,
  type SlotHandover,
  type SlotKey,
  type SlotOwners,
  type SlotUsageReport,
  takeOverSlots,
} from "./slot_handover.ts";

const FENCE_TICKS = 4;
const LONGEST_RUN_TICKS = 6;
const NAMES = ["a", "b", "c", "d"];
const HOSTS = [{ name: "h1", dataCentre: "dc", slots: 4 }];

type Entry = {
  type: "joined" | "left" | "lost";
  name: string;
  incarnation: string;
};

type Node = {
  name: string;
  incarnation: string;
  handover: SlotHandover;
  nextOffset: number;
  members: Map<string, string>;
  lostAt: Map<string, number>;
  /** Tick at which the log was last read to its end. */
  readAt: number;
  running: Map<SlotKey, number>;
  isGone: boolean;
};

/** Simulated fleet whose nodes read the log and hear each other late. */
function createFleet() {
  const log: (Entry & { at: number })[] = [];
  const nodes: Node[] = [];
  const messages: {
    at: number;
    to: Node;
    from: string;
    it: SlotUsageReport;
  }[] = [];
  let now = 0;
  let incarnations = 0;
  const live = () => nodes.filter((node) => !node.isGone);
  const isMember = (node: Node) =>
    node.members.get(node.name) === node.incarnation;

  function start(name: string): void {
    // A replacement starts only after the old process has ended; what its
    // executor runs goes on.
    for (const node of live()) if (node.name === name) node.isGone = true;
    const node: Node = {
      name,
      incarnation: `i${++incarnations}`,
      handover: createSlotHandover(name),
      nextOffset: 0,
      members: new Map(),
      lostAt: new Map(),
      readAt: now,
      running: new Map(),
      isGone: false,
    };
    nodes.push(node);
    read(node, log.length);
    log.push({ type: "joined", name, incarnation: node.incarnation, at: now });
  }

  function foldEntry(node: Node, entry: Entry & { at: number }): void {
    const { name, incarnation } = entry;
    const isOwn = name === node.name && incarnation === node.incarnation;
    const untilMs = now + FENCE_TICKS + LONGEST_RUN_TICKS;
    if (entry.type === "joined") {
      if (node.members.has(name)) {
        node.lostAt.set(name, entry.at);
        delayTakeOver(node.handover, { untilMs, member: name });
      }
      node.members.set(name, incarnation);
      if (isOwn) {
        const newest = Math.max(-Infinity, ...node.lostAt.values());
        delayTakeOver(node.handover, {
          untilMs: now + FENCE_TICKS + LONGEST_RUN_TICKS - (entry.at - newest),
          member: undefined,
        });
      }
    } else if (node.members.get(name) === incarnation) {
      if (entry.type === "lost") {
        node.lostAt.set(name, entry.at);
        delayTakeOver(node.handover, { untilMs, member: name });
      }
      node.members.delete(name);
    }
  }

  function read(node: Node, upTo: number): void {
    for (; node.nextOffset < upTo; node.nextOffset++) {
      foldEntry(node, log[node.nextOffset]!);
      if (!isMember(node)) dropAllSlots(node.handover);
      const others = new Map(node.members);
      others.delete(node.name);
      const next = ownersAt(node.members, node.nextOffset + 1);
      const members = { others, isMember: isMember(node) };
      changeSlotOwners(node.handover, next, members);
    }
    if (node.nextOffset === log.length) node.readAt = now;
  }

  function state(node: Node): SlotUsageReport {
    const { handover, incarnation, nextOffset } = node;
    const held = new Set(heldSlots(handover, node.running.keys()));
    const basis = handover.history.at(-1)?.basis ?? 0n;
    return { incarnation, basis, nextOffset, held };
  }

  function step(): void {
    now++;
    for (const message of messages.filter(({ at }) => at === now)) {
      recordSlotUsage(message.to.handover, message.from, message.it);
    }
    for (const node of nodes) {
      for (const [slot, until] of node.running) {
        if (until <= now) node.running.delete(slot);
      }
    }
    for (const node of live()) {
      takeOverSlots(node.handover, now);
      if (!isMember(node) || now - node.readAt >= FENCE_TICKS) continue;
      for (const slot of node.handover.usable) {
        if (node.running.has(slot)) continue;
        node.running.set(slot, now + 1 + (now * 7 + slot.length) % 6);
      }
    }
  }

  return {
    act({ kind, who, delay }: Action): void {
      const name = NAMES[who % NAMES.length]!;
      const node = live().find((it) => it.name === name);
      if (kind === "start") return start(name);
      if (kind === "step") return step();
      if (node === undefined) return;
      const { incarnation } = node;
      if (kind === "read") {
        return read(node, Math.min(node.nextOffset + 1 + delay, log.length));
      }
      if (kind === "read-all") return read(node, log.length);
      if (kind === "lose") {
        // The node may live on, cut off from the log.
        log.push({ type: "lost", name, incarnation, at: now });
      } else if (kind === "leave" && node.running.size === 0) {
        node.isGone = true;
        log.push({ type: "left", name, incarnation, at: now });
      } else if (kind === "tell") {
        const it = state(node);
        for (const to of live()) {
          if (to === node || delay === 4) continue;
          messages.push({ at: now + 1 + delay, to, from: name, it });
        }
      }
    },
    step,
    tellAll(): void {
      for (const node of live()) {
        read(node, log.length);
        const it = state(node);
        for (const to of live()) {
          if (to !== node) recordSlotUsage(to.handover, node.name, it);
        }
      }
    },
    usersOf(slot: SlotKey): string[] {
      return nodes.filter((node) => node.running.has(slot))
        .map((node) => `${node.name} ${node.incarnation}`);
    },
    live,
  };
}

function ownersAt(
  members: ReadonlyMap<string, string>,
  nextOffset: number,
): SlotOwners {
  const names = [...members.keys()];
  const input = names.map((name) => ({ name, dataCentre: "dc" }));
  const owners = new Map<SlotKey, string>();
  for (const [host, list] of assignSlots({ hosts: HOSTS, members: input })) {
    for (const [slot, name] of list.entries()) {
      if (name !== undefined) owners.set(`${host}/${slot}`, name);
    }
  }
  // The generation of the simulated membership is the offset.
  const basis = slotBasis({ generation: nextOffset, hosts: HOSTS });
  return { basis, nextOffset, owners };
}

type Action = {
  kind: "start" | "read" | "read-all" | "lose" | "leave" | "tell" | "step";
  who: number;
  delay: number;
};

const kinds = fc.oneof(
  { weight: 1, arbitrary: fc.constantFrom("start", "lose", "leave") },
  { weight: 8, arbitrary: fc.constantFrom("read", "read-all", "tell", "step") },
);

const actions = fc.array(
  fc.record<Action>({
    kind: kinds as fc.Arbitrary<Action["kind"]>,
    who: fc.nat(3),
    delay: fc.nat(4),
  }),
  { minLength: 20, maxLength: 150, size: "max" },
);

const SLOTS = Array.from({ length: 4 }, (_, slot): SlotKey => `h1/${slot}`);

describe("takeOverSlots()", () => {
  // Guards against two entry hosts that use one slot through joins, leaves,
  // losses, late views of the log, and lost or late messages.
  test("never lets two entry hosts use one slot", () => {
    fc.assert(
      fc.property(actions, (schedule) => {
        const fleet = createFleet();
        for (const who of [0, 1, 2]) {
          fleet.act({ kind: "start", who, delay: 0 });
        }
        for (const action of schedule) {
          fleet.act(action);
          const users = SLOTS.map((slot) => fleet.usersOf(slot).length);
          if (Math.max(...users) > 1) throw new Error(`Users: ${users}.`);
        }
      }),
      { numRuns: 2_000, seed: 7 },
    );
  });

  // Guards against slots that stay unused after everything is quiet again.
  test("gives every slot a user in the end", () => {
    fc.assert(
      fc.property(actions, (schedule) => {
        const fleet = createFleet();
        for (const who of [0, 1, 2]) {
          fleet.act({ kind: "start", who, delay: 0 });
        }
        for (const action of schedule) fleet.act(action);
        for (const who of [0, 1, 2, 3]) {
          fleet.act({ kind: "start", who, delay: 0 });
        }
        for (let tick = 0; tick < 40; tick++) {
          fleet.tellAll();
          fleet.step();
        }
        const usable = fleet.live().map((it) => [...it.handover.usable]).flat();
        expect(usable.sort()).toEqual(SLOTS);
      }),
      { numRuns: 200, seed: 7 },
    );
  });
});
