/**
 * Property tests of the slot handover in a simulated fleet.
 *
 * @module
 */

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

/** Ticks without a read of the log after which a node starts no requests. */
const LOG_STALE_TICKS = 4;
const LONGEST_RUN_TICKS = 6;
const NAMES = ["a", "b", "c", "d"];
const HOSTS = [{ name: "h1", dataCentre: "dc", slots: 4 }];

/** Membership record of the log. */
type Entry = {
  type: "joined" | "left" | "lost";
  name: string;
  incarnation: string;
};

/** Process of an entry host. */
type Node = {
  name: string;
  incarnation: string;
  handover: SlotHandover;
  nextOffset: number;
  members: Map<string, string>;
  /** Tick at which each name was last recorded as lost. */
  lostAt: Map<string, number>;
  /** Tick at which the log was last read to its end. */
  readAt: number;
  /** Tick at which the request in each used slot ends. */
  running: Map<SlotKey, number>;
  /** Whether the process has ended; its last requests may still run. */
  hasExited: boolean;
};

/** Simulates nodes that read the log and get each other's reports late. */
function createFleet() {
  const log: (Entry & { at: number })[] = [];
  const nodes: Node[] = [];
  const messages: {
    at: number;
    to: Node;
    from: string;
    report: SlotUsageReport;
  }[] = [];
  let nowTick = 0;
  let incarnations = 0;
  const live = () => nodes.filter((node) => !node.hasExited);
  const isMember = (node: Node) =>
    node.members.get(node.name) === node.incarnation;

  function startNode(name: string): void {
    // A process starts only after the previous one of its name has ended. The
    // requests of the previous one continue on their executors.
    for (const node of live()) if (node.name === name) node.hasExited = true;
    const node: Node = {
      name,
      incarnation: `i${++incarnations}`,
      handover: createSlotHandover(name),
      nextOffset: 0,
      members: new Map(),
      lostAt: new Map(),
      readAt: nowTick,
      running: new Map(),
      hasExited: false,
    };
    nodes.push(node);
    readLog(node, log.length);
    log.push({
      type: "joined",
      name,
      incarnation: node.incarnation,
      at: nowTick,
    });
  }

  function foldEntry(node: Node, entry: Entry & { at: number }): void {
    const { name, incarnation } = entry;
    const isOwn = name === node.name && incarnation === node.incarnation;
    const untilMs = nowTick + LOG_STALE_TICKS + LONGEST_RUN_TICKS;
    if (entry.type === "joined") {
      if (node.members.has(name)) {
        node.lostAt.set(name, entry.at);
        delayTakeOver(node.handover, { untilMs, member: name });
      }
      node.members.set(name, incarnation);
      if (isOwn) {
        const newest = Math.max(-Infinity, ...node.lostAt.values());
        delayTakeOver(node.handover, {
          untilMs: nowTick + LOG_STALE_TICKS + LONGEST_RUN_TICKS -
            (entry.at - newest),
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

  function readLog(node: Node, upTo: number): void {
    for (; node.nextOffset < upTo; node.nextOffset++) {
      foldEntry(node, log[node.nextOffset]!);
      if (!isMember(node)) dropAllSlots(node.handover);
      const others = new Map(node.members);
      others.delete(node.name);
      const next = computeOwners(node.members, node.nextOffset + 1);
      const members = { others, isMember: isMember(node) };
      changeSlotOwners(node.handover, next, members);
    }
    if (node.nextOffset === log.length) node.readAt = nowTick;
  }

  function createReport(node: Node): SlotUsageReport {
    const { handover, incarnation, nextOffset } = node;
    const held = new Set(heldSlots(handover, node.running.keys()));
    const basis = handover.history.at(-1)?.basis ?? 0n;
    return { incarnation, basis, nextOffset, held };
  }

  function step(): void {
    nowTick++;
    for (const message of messages.filter(({ at }) => at === nowTick)) {
      recordSlotUsage(message.to.handover, message.from, message.report);
    }
    for (const node of nodes) {
      for (const [slot, until] of node.running) {
        if (until <= nowTick) node.running.delete(slot);
      }
    }
    for (const node of live()) {
      takeOverSlots(node.handover, nowTick);
      if (!isMember(node) || nowTick - node.readAt >= LOG_STALE_TICKS) continue;
      for (const slot of node.handover.usable) {
        if (node.running.has(slot)) continue;
        node.running.set(slot, nowTick + 1 + (nowTick * 7 + slot.length) % 6);
      }
    }
  }

  return {
    applyAction({ kind, nodeIndex, delay }: Action): void {
      const name = NAMES[nodeIndex % NAMES.length]!;
      const node = live().find((node) => node.name === name);
      if (kind === "start") return startNode(name);
      if (kind === "step") return step();
      if (node === undefined) return;
      const { incarnation } = node;
      if (kind === "read") {
        return readLog(node, Math.min(node.nextOffset + 1 + delay, log.length));
      }
      if (kind === "read-all") return readLog(node, log.length);
      if (kind === "lose") {
        // The process may still run, partitioned from the log.
        log.push({ type: "lost", name, incarnation, at: nowTick });
      } else if (kind === "leave" && node.running.size === 0) {
        node.hasExited = true;
        log.push({ type: "left", name, incarnation, at: nowTick });
      } else if (kind === "tell") {
        const report = createReport(node);
        for (const to of live()) {
          if (to === node || delay === 4) continue;
          messages.push({ at: nowTick + 1 + delay, to, from: name, report });
        }
      }
    },
    step,
    exchangeReports(): void {
      for (const node of live()) {
        readLog(node, log.length);
        const report = createReport(node);
        for (const to of live()) {
          if (to !== node) recordSlotUsage(to.handover, node.name, report);
        }
      }
    },
    findUsers(slot: SlotKey): string[] {
      return nodes.filter((node) => node.running.has(slot))
        .map((node) => `${node.name} ${node.incarnation}`);
    },
    live,
  };
}

function computeOwners(
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
  nodeIndex: number;
  delay: number;
};

const kinds = fc.oneof(
  { weight: 1, arbitrary: fc.constantFrom("start", "lose", "leave") },
  { weight: 8, arbitrary: fc.constantFrom("read", "read-all", "tell", "step") },
);

const actions = fc.array(
  fc.record<Action>({
    kind: kinds as fc.Arbitrary<Action["kind"]>,
    nodeIndex: fc.nat(3),
    delay: fc.nat(4),
  }),
  { minLength: 20, maxLength: 150, size: "max" },
);

const SLOTS = Array.from({ length: 4 }, (_, slot): SlotKey => `h1/${slot}`);

describe("takeOverSlots()", () => {
  // Guards against a slot that two entry hosts use at a time, under joins,
  // leaves, losses, late reads of the log, and lost or late reports.
  test("never lets two entry hosts use one slot", () => {
    fc.assert(
      fc.property(actions, (schedule) => {
        const fleet = createFleet();
        for (const nodeIndex of [0, 1, 2]) {
          fleet.applyAction({ kind: "start", nodeIndex, delay: 0 });
        }
        for (const action of schedule) {
          fleet.applyAction(action);
          const users = SLOTS.map((slot) => fleet.findUsers(slot).length);
          if (Math.max(...users) > 1) throw new Error(`Users: ${users}.`);
        }
      }),
      { numRuns: 2_000, seed: 7 },
    );
  });

  // Guards against slots that stay unused after membership changes and message
  // losses have ended.
  test("makes every slot usable once the membership is stable", () => {
    fc.assert(
      fc.property(actions, (schedule) => {
        const fleet = createFleet();
        for (const nodeIndex of [0, 1, 2]) {
          fleet.applyAction({ kind: "start", nodeIndex, delay: 0 });
        }
        for (const action of schedule) fleet.applyAction(action);
        for (const nodeIndex of [0, 1, 2, 3]) {
          fleet.applyAction({ kind: "start", nodeIndex, delay: 0 });
        }
        for (let tick = 0; tick < 40; tick++) {
          fleet.exchangeReports();
          fleet.step();
        }
        const usable = fleet.live().map((node) => [...node.handover.usable])
          .flat();
        expect(usable.sort()).toEqual(SLOTS);
      }),
      { numRuns: 200, seed: 7 },
    );
  });
});
