/**
 * Ownership of slots: which slots this entry host may use, and from when on.
 *
 * @module
 */

import {
  assignSlots,
  changeSlotOwners,
  createSlotHandover,
  delayTakeOver,
  dropAllSlots,
  FENCING_TIMEOUT_MS,
  heldSlots,
  recordSlotUsage,
  slotBasis,
  type SlotHandover,
  type SlotKey,
  type SlotUsageReport,
  takeOverSlots,
} from "@lagoonloom/decisions";
import type { ControlFold, FoldChange } from "./control_fold.ts";
import type { RunningSlots } from "./running_slots.ts";

/** Slots that this entry host owns and may use. */
export type SlotControl = {
  /** Returns the slots that may be used now. */
  usable(): ReadonlySet<SlotKey>;
  /** Returns the report of held slots that heartbeats carry. */
  ownUsageReport(nowMs: number): { slotBasis: bigint; held: SlotKey[] };
  receiveUsageReport(member: string, report: SlotUsageReport): void;
  /** Takes over released slots; returns whether the usable slots changed. */
  advance(nowMs: number): boolean;
};

/** Options of {@linkcode createSlotControl}. */
export type SlotControlOptions = {
  name: string;
  dataCentre: string;
  incarnation: () => string;
  fold: ControlFold;
  running: RunningSlots;
  /** Longest run time of a request in milliseconds. */
  longestRequestMs: number;
};

/**
 * Creates the control of this entry host's slots. It assigns the slots of a
 * data centre to its members whenever the members or hosts change. A slot with
 * a new owner is used only after the former one has released it or, if that one
 * was lost, after the fencing time.
 *
 * @example
 * ```ts
 * const slots = createSlotControl(options);
 * if (slots.advance(performance.now())) updateTopology();
 * ```
 */
export function createSlotControl(options: SlotControlOptions): SlotControl {
  const { fold, running } = options;
  const handover = createSlotHandover(options.name);
  const fences = createLossFences(handover, options);
  let generation = -1;
  let setVersion = -1;
  let hasChanged = false;
  function updateOwners(): void {
    const state = fold.state();
    if (state.generation === generation && state.setVersion === setVersion) {
      return;
    }
    generation = state.generation;
    setVersion = state.setVersion;
    const own = state.members.get(options.name);
    const isMember = own?.incarnation === options.incarnation();
    if (!isMember) dropAllSlots(handover);
    const input = slotInput(fold, options.dataCentre);
    const basis = slotBasis({ generation, hosts: input.hosts });
    if (handover.history.at(-1)?.basis === basis) return;
    const owners = new Map<SlotKey, string>();
    for (const [host, names] of assignSlots(input)) {
      for (const [slot, name] of names.entries()) {
        if (name !== undefined) owners.set(`${host}/${slot}`, name);
      }
    }
    const others = input.members
      .filter(({ name }) => name !== options.name)
      .map(({ name, incarnation }) => [name, incarnation] as const);
    const { nextOffset } = state;
    const next = { basis, nextOffset, owners };
    changeSlotOwners(handover, next, { others: new Map(others), isMember });
    hasChanged = true;
  }
  fold.onChange((change) => {
    if (change.type === "settled") updateOwners();
    else fences.handleChange(change);
  });
  return {
    usable: () => handover.usable,
    ownUsageReport: (nowMs) => ({
      slotBasis: handover.history.at(-1)?.basis ?? 0n,
      held: heldSlots(handover, running.list(nowMs)),
    }),
    receiveUsageReport: (member, report) =>
      recordSlotUsage(handover, member, report),
    advance(nowMs) {
      const tookOver = takeOverSlots(handover, nowMs);
      const result = tookOver || hasChanged;
      hasChanged = false;
      return result;
    },
  };
}

/** Returns the hosts and members of one data centre. */
function slotInput(fold: ControlFold, dataCentre: string) {
  const state = fold.state();
  const hosts = Object.entries(state.set.hosts)
    .filter(([, host]) => host.data_centre === dataCentre)
    .map(([name, { slots }]) => ({ name, dataCentre, slots }));
  const members = [...state.members.values()]
    .filter((member) => member.dataCentre === dataCentre);
  return { hosts, members };
}

/**
 * Starts a fencing time for each loss of a member that the fold shows. If this
 * entry host is a member, the time starts when the loss is folded. For earlier
 * losses it starts at the join, less the time that has passed since by the
 * log's clock.
 */
function createLossFences(handover: SlotHandover, options: SlotControlOptions) {
  const { fold, name: self, dataCentre, longestRequestMs } = options;
  const fenceMs = FENCING_TIMEOUT_MS + longestRequestMs;
  const knownIncarnations = new Map<string, string>();
  let newestLossMs: number | undefined;
  let isMember = false;
  function recordLoss(lossMs: number, member: string | undefined): void {
    newestLossMs = Math.max(newestLossMs ?? lossMs, lossMs);
    if (!isMember) return;
    delayTakeOver(handover, { untilMs: performance.now() + fenceMs, member });
  }
  function recordJoin(joinMs: number): void {
    isMember = true;
    const ageMs = joinMs - (newestLossMs ?? -Infinity);
    if (ageMs >= fenceMs) return;
    const untilMs = performance.now() + fenceMs - ageMs;
    delayTakeOver(handover, { untilMs, member: undefined });
  }
  function updateKnownMembers(): void {
    knownIncarnations.clear();
    for (const member of fold.state().members.values()) {
      if (member.dataCentre === dataCentre) {
        knownIncarnations.set(member.name, member.incarnation);
      }
    }
  }
  return {
    handleChange(change: Exclude<FoldChange, { type: "settled" }>): void {
      if (change.type === "replaced") {
        // Losses may be among the records that the new state skipped.
        recordLoss(fold.state().timeMs, undefined);
        return updateKnownMembers();
      }
      if (change.outcome.type !== "applied") return;
      const { body, timeMs } = change.record;
      const type = (body as { type: string }).type;
      if (!type.startsWith("member.")) return;
      const { member, incarnation } = body as {
        member: string;
        incarnation: string;
      };
      const isReplaced = type === "member.joined" &&
        knownIncarnations.has(member);
      const isLost = type === "member.lost" && knownIncarnations.has(member);
      if (isReplaced || isLost) recordLoss(timeMs, member);
      updateKnownMembers();
      if (member !== self || incarnation !== options.incarnation()) return;
      if (type === "member.joined") recordJoin(timeMs);
      else if (type !== "member.watched") isMember = false;
    },
  };
}
