/**
 * Handover of executor slots between entry hosts: an entry host starts to use a
 * slot that it owns only once no other one may still use it.
 *
 * @module
 */

/** Slot of an executor as `host/index`. */
export type SlotKey = `${string}/${number}`;

/** Owners of a data centre's slots as of one offset of the log. */
export type SlotOwners = {
  /** Digest of the input from which the owners were computed. */
  basis: bigint;
  /** Offset after the record that led to these owners. */
  nextOffset: number;
  owners: ReadonlyMap<SlotKey, string>;
};

/** Report of another entry host on the slots that it may use. */
export type SlotUsageReport = {
  /** Incarnation of the sender. */
  incarnation: string;
  /** Digest of the sender's slot owners. */
  basis: bigint;
  /** Offset of the next record that the sender would fold. */
  nextOffset: number;
  /** Slots that it still uses although it no longer owns them. */
  held: ReadonlySet<SlotKey>;
};

/** Slots of a data centre that one entry host owns, and those it may use. */
export type SlotHandover = {
  /** Name of this entry host. */
  self: string;
  /** Recent owners of all slots, newest last. */
  history: SlotOwners[];
  /** Other entry hosts of the data centre and their incarnations. */
  others: ReadonlyMap<string, string>;
  owned: ReadonlySet<SlotKey>;
  /** Owned slots that this entry host may use. */
  usable: Set<SlotKey>;
  /** Newest report of each other entry host. */
  usageReports: Map<string, SlotUsageReport>;
  takeOverDelays: TakeOverDelay[];
};

/** Time during which a lost entry host may still use slots. */
type TakeOverDelay = {
  /** Monotonic time in milliseconds. */
  untilMs: number;
  /** Returns whether the lost entry host may still use a slot. */
  mayUse: (slot: SlotKey) => boolean;
};

/**
 * Number of past slot owners that are kept. An entry host whose last report is
 * older blocks every take-over until it reports again or is declared lost.
 */
const MAX_HISTORY = 32;

/**
 * Creates the state of an entry host that owns no slots.
 *
 * @example
 * ```ts
 * const handover = createSlotHandover("detroit-1");
 * ```
 */
export function createSlotHandover(self: string): SlotHandover {
  return {
    self,
    history: [],
    others: new Map(),
    owned: new Set(),
    usable: new Set(),
    usageReports: new Map(),
    takeOverDelays: [],
  };
}

/** Options of {@linkcode changeSlotOwners}. */
export type ChangeSlotOwnersOptions = {
  /** Other entry hosts of the data centre and their incarnations. */
  others: ReadonlyMap<string, string>;
  /**
   * Whether this process has joined. Before that, slots under its name still
   * belong to the previous process of that name.
   */
  isMember: boolean;
};

/**
 * Applies a change of slot owners. Slots that this entry host no longer owns
 * stop being usable at once; new ones become usable by
 * {@linkcode takeOverSlots}.
 *
 * @example
 * ```ts
 * const members = { others: new Map([["detroit-2", "i1"]]), isMember: true };
 * changeSlotOwners(handover, { basis, nextOffset, owners }, members);
 * ```
 */
export function changeSlotOwners(
  handover: SlotHandover,
  next: SlotOwners,
  { others, isMember }: ChangeSlotOwnersOptions,
): void {
  handover.others = others;
  if (handover.history.at(-1)?.basis === next.basis) return;
  handover.history.push(next);
  if (handover.history.length > MAX_HISTORY) handover.history.shift();
  const owned = new Set<SlotKey>();
  for (const [slot, owner] of next.owners) {
    if (isMember && owner === handover.self) owned.add(slot);
  }
  handover.owned = owned;
  for (const slot of handover.usable) {
    if (!owned.has(slot)) handover.usable.delete(slot);
  }
  for (const name of handover.usageReports.keys()) {
    if (!others.has(name)) handover.usageReports.delete(name);
  }
}

/**
 * Makes all slots unusable, after this process was declared lost.
 *
 * @example
 * ```ts
 * dropAllSlots(handover);
 * ```
 */
export function dropAllSlots(handover: SlotHandover): void {
  handover.history = [];
  handover.owned = new Set();
  handover.usable = new Set();
  handover.usageReports.clear();
}

/**
 * Delays the take-over of the slots that a lost entry host may still use, until
 * it has certainly stopped and its last requests have ended. Delays all slots
 * if `member` is undefined. Call it before {@linkcode changeSlotOwners}.
 *
 * @example
 * ```ts
 * const untilMs = performance.now() + 12_000;
 * delayTakeOver(handover, { untilMs, member: "detroit-2" });
 * ```
 */
export function delayTakeOver(
  handover: SlotHandover,
  delay: { untilMs: number; member: string | undefined },
): void {
  const { untilMs, member } = delay;
  const incarnation = member && handover.others.get(member);
  const mayUse = member === undefined || incarnation === undefined
    ? () => true
    : createUsePredicate(handover, member, incarnation);
  handover.takeOverDelays.push({ untilMs, mayUse });
}

/**
 * Records a report of another entry host, unless a newer one of the same
 * incarnation is known.
 *
 * @example
 * ```ts
 * recordSlotUsage(handover, "detroit-2", report);
 * ```
 */
export function recordSlotUsage(
  handover: SlotHandover,
  member: string,
  report: SlotUsageReport,
): void {
  const known = handover.usageReports.get(member);
  const isOlder = known?.incarnation === report.incarnation &&
    known.nextOffset > report.nextOffset;
  if (!isOlder) handover.usageReports.set(member, report);
}

/**
 * Makes the owned slots usable that no other entry host may use any more, and
 * returns whether there were any.
 *
 * @example
 * ```ts
 * if (takeOverSlots(handover, performance.now())) updateTopology();
 * ```
 */
export function takeOverSlots(handover: SlotHandover, nowMs: number): boolean {
  const { owned, usable } = handover;
  handover.takeOverDelays = handover.takeOverDelays.filter(({ untilMs }) =>
    nowMs < untilMs
  );
  if (usable.size === owned.size) return false;
  const users = [...handover.others].map(([member, incarnation]) =>
    createUsePredicate(handover, member, incarnation)
  );
  users.push(...handover.takeOverDelays.map(({ mayUse }) => mayUse));
  const countBefore = usable.size;
  for (const slot of owned) {
    if (!users.some((mayUse) => mayUse(slot))) usable.add(slot);
  }
  return usable.size > countBefore;
}

/**
 * Creates a function that returns whether another entry host may use a slot. It
 * may use the slots that its last report lists as held and those that it has
 * owned at any time since. Without a report, or with one about owners that are
 * not in the history, it may use every slot.
 */
function createUsePredicate(
  handover: SlotHandover,
  member: string,
  incarnation: string,
): (slot: SlotKey) => boolean {
  const report = handover.usageReports.get(member);
  if (report?.incarnation !== incarnation) return () => true;
  const { basis, nextOffset, held } = report;
  const since = handover.history.findLastIndex((entry) =>
    entry.basis === basis && entry.nextOffset <= nextOffset
  );
  if (since < 0) return () => true;
  const history = handover.history.slice(since);
  return (slot) =>
    held.has(slot) || history.some(({ owners }) => owners.get(slot) === member);
}

/**
 * Returns the slots in use that this entry host does not own any more.
 *
 * @example
 * ```ts
 * const held = heldSlots(handover, running);
 * ```
 */
export function heldSlots(
  handover: SlotHandover,
  running: Iterable<SlotKey>,
): SlotKey[] {
  return [...running].filter((slot) => !handover.owned.has(slot));
}
