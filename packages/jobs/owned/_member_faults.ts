/**
 * Faults of members and their links, drawn at random.
 *
 * @module
 */

import type { Random } from "../../measure/random.ts";
import { type CallFault, STORE } from "./_member_link.ts";

/** What happens to members and links for some time. */
export type MemberFault = {
  atMs: number;
  endsMs: number;
  /** Member that it concerns. */
  member: string;
  /** Executors that it concerns, or the store. */
  targets: ReadonlySet<string>;
  kind: FaultKind;
};

/** What happens to calls on the links between a member and some targets. */
const LINK_FAULTS = [
  /** Nothing passes. */
  "cut",
  /** Calls and answers take up to a second. */
  "slow",
  /** Half of the calls or of their answers are lost. */
  "lossy",
  /** Half of the calls get no answer and are carried out seconds later. */
  "late",
] as const;

/** What happens to a member. */
const MEMBER_FAULTS = [
  "kill",
  /** The member leaves as planned, and another process starts afterwards. */
  "restart",
  "pause",
  "suspend",
  /** The store assigns all partitions to other members. */
  "reassign",
] as const;

/** Faults that a member may not notice. */
const PAUSES = ["pause", "suspend"] as const;

type FaultKind =
  | typeof LINK_FAULTS[number]
  | typeof MEMBER_FAULTS[number];

/** Faults of one play, and of each call in it. */
export type FaultPlan = {
  faults: readonly MemberFault[];
  isCut(address: string, target: string): boolean;
  drawFault(address: string, target: string): CallFault;
};

/** Draws an integer from a range. */
export function drawInt(random: Random, min: number, max: number): number {
  return min + Math.floor(random() * (max - min + 1));
}

/** Draws one of several values. */
export function drawOne<Value>(
  random: Random,
  values: readonly Value[],
): Value {
  return values[drawInt(random, 0, values.length - 1)]!;
}

type Drawing = {
  random: Random;
  members: readonly string[];
  executors: readonly string[];
  untilMs: number;
};

/**
 * Draws times in which some members reach only some executors, long enough for
 * leases to expire.
 */
function drawPartitions(drawing: Drawing): MemberFault[] {
  const { random, members, executors, untilMs } = drawing;
  const faults: MemberFault[] = [];
  for (let count = drawInt(random, 1, 3); count > 0; count--) {
    const startMs = drawInt(random, 1_000, untilMs);
    const share = drawOne(random, [0.2, 0.5, 0.8]);
    for (const member of members) {
      const targets = new Set(executors.filter(() => random() < share));
      const atMs = startMs + drawInt(random, 0, 1_500);
      const endsMs = atMs + drawInt(random, 4_000, 16_000);
      faults.push({ atMs, endsMs, member, targets, kind: "cut" });
    }
  }
  return faults;
}

/** Draws faults by which members lose their memberships. */
function drawGaps(drawing: Drawing): MemberFault[] {
  const { random, members, untilMs } = drawing;
  return Array.from({ length: drawInt(random, 2, 8) }, () => {
    const atMs = drawInt(random, 2_000, untilMs);
    const longestMs = drawOne(random, [2_500, 5_000, 10_000]);
    const isCut = random() < 0.3;
    return {
      atMs,
      endsMs: atMs + drawInt(random, 300, longestMs),
      member: drawOne(random, members),
      targets: new Set(isCut ? [STORE] : []),
      kind: isCut ? "cut" : drawOne(random, MEMBER_FAULTS),
    };
  });
}

/**
 * Draws gaps of a member that end about when those of all others begin, so that
 * it may get its partition back at once. Meanwhile, each member reaches only
 * some executors.
 */
function drawAlternations(drawing: Drawing): MemberFault[] {
  const { random, members, executors, untilMs } = drawing;
  const faults: MemberFault[] = [];
  for (let count = drawInt(random, 0, 2); count > 0; count--) {
    const returning = drawOne(random, members);
    const atMs = drawInt(random, 2_000, untilMs - 10_000);
    const returnsMs = atMs + drawInt(random, 2_000, 14_000);
    for (const member of members) {
      const isReturning = member === returning;
      const startMs = isReturning
        ? atMs
        : returnsMs - drawInt(random, -200, 3_500);
      const isCut = random() < 0.4;
      const kinds = isReturning ? PAUSES : MEMBER_FAULTS;
      faults.push({
        atMs: startMs,
        endsMs: isReturning
          ? returnsMs
          : startMs + drawInt(random, 1_000, 8_000),
        member,
        targets: new Set(isCut ? [STORE] : []),
        kind: isCut ? "cut" : drawOne<FaultKind>(random, kinds),
      }, {
        atMs: atMs - drawInt(random, -1_500, 1_500),
        endsMs: returnsMs + drawInt(random, 0, 8_000),
        member,
        targets: new Set(executors.filter(() => random() < 0.5)),
        kind: "cut",
      });
    }
  }
  return faults;
}

/** Draws outages of the store for all members. */
function drawOutages(drawing: Drawing): MemberFault[] {
  const { random, members, untilMs } = drawing;
  if (random() < 0.7) return [];
  const atMs = drawInt(random, 2_000, untilMs);
  const endsMs = atMs + drawInt(random, 500, 8_000);
  const targets = new Set([STORE]);
  return members.map((member) => ({
    atMs,
    endsMs,
    member,
    targets,
    kind: "cut",
  }));
}

/**
 * Draws handovers in quick succession, of which some are followed by the loss
 * of a membership. Meanwhile, each member reaches only some executors.
 */
function drawHandovers(drawing: Drawing): MemberFault[] {
  const { random, members, executors, untilMs } = drawing;
  const faults: MemberFault[] = [];
  for (let count = drawInt(random, 1, 2); count > 0; count--) {
    let atMs = drawInt(random, 3_000, untilMs - 5_000);
    const endsMs = atMs + drawInt(random, 8_000, 18_000);
    for (const member of members) {
      const targets = new Set(executors.filter(() => random() < 0.5));
      const cutMs = atMs - drawInt(random, -2_000, 2_000);
      faults.push({ atMs: cutMs, endsMs, member, targets, kind: "cut" });
    }
    for (let series = drawInt(random, 3, 7); series > 0; series--) {
      atMs += drawInt(random, 400, 4_500);
      const member = drawOne(random, members);
      const none = new Set<string>();
      faults.push({
        atMs,
        endsMs: atMs,
        member,
        targets: none,
        kind: "reassign",
      });
      if (random() < 0.6) continue;
      const lostMs = atMs + drawInt(random, 200, 2_000);
      faults.push({
        atMs: lostMs,
        endsMs: lostMs + drawInt(random, 1_600, 4_000),
        member,
        targets: new Set([STORE]),
        kind: "cut",
      });
    }
  }
  return faults;
}

/** Draws faults of single links, several at about the same time. */
function drawLinkFaults(drawing: Drawing): MemberFault[] {
  const { random, members, executors, untilMs } = drawing;
  const faults: MemberFault[] = [];
  for (let count = drawInt(random, 0, 4); count > 0; count--) {
    const startMs = drawInt(random, 2_000, untilMs);
    for (let part = drawInt(random, 1, 4); part > 0; part--) {
      const atMs = startMs + drawInt(random, 0, 3_000);
      const share = drawOne(random, [0, 0.5, 1]);
      const targets = new Set(executors.filter(() => random() < share));
      if (targets.size === 0 || random() < 0.3) targets.add(STORE);
      faults.push({
        atMs,
        endsMs: atMs + drawInt(random, 200, 5_000),
        member: drawOne(random, members),
        targets,
        kind: drawOne(random, LINK_FAULTS),
      });
    }
  }
  return faults;
}

/** Draws the faults of a play. */
export function drawFaults(
  random: Random,
  { nowMs, ...drawing }: Omit<Drawing, "random"> & {
    /** Time since the start of the play. */
    nowMs(): number;
  },
): FaultPlan {
  const faults = [
    drawPartitions,
    drawGaps,
    drawAlternations,
    drawOutages,
    drawHandovers,
    drawLinkFaults,
  ].flatMap((draw) => draw({ random, ...drawing }));

  const runningFaults = (address: string, target: string) =>
    faults.filter(({ member, targets, atMs, endsMs }) =>
      member === address && targets.has(target) &&
      atMs <= nowMs() && nowMs() < endsMs
    );

  return {
    faults,
    isCut: (address, target) =>
      runningFaults(address, target).some(({ kind }) => kind === "cut"),
    drawFault(address, target) {
      const call: CallFault = {
        beforeMs: drawInt(random, 1, 4),
        afterMs: drawInt(random, 1, 4),
      };
      for (const { kind } of runningFaults(address, target)) {
        if (kind === "slow") {
          call.beforeMs += drawInt(random, 20, 600);
          call.afterMs += drawInt(random, 20, 600);
        } else if (random() < 0.5) {
          if (kind === "lossy" && random() < 0.5) call.isLost = true;
          else call.isAnswerLost = true;
          if (kind === "late") call.beforeMs += drawInt(random, 500, 5_000);
        }
      }
      return call;
    },
  };
}
