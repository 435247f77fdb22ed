/** Slot of an executor as `host/index`. */
export type SlotKey = `${string}/${number}`;

/** Owners of a data centre's slots from one offset on. */
export type SlotOwners = {
  /** Digest of what the owners were computed from. */
  basis: bigint;
  /** Next offset after the record that made this basis. */
  nextOffset: number;
  owners: ReadonlyMap<SlotKey, string>;
};

/** Statement of another entry host about its use of slots. */
export type SlotUsageReport = {
  incarnation: string;
  /** Basis of the owners that the sender had. */
  basis: bigint;
  /** Next offset that the sender would fold. */
  nextOffset: number;
  /** Slots that it does not own by that basis and may still use. */
  held: ReadonlySet<SlotKey>;
};

/** Which slots of its data centre one entry host may use. */
export type SlotHandover = {
  self: string;
  /** Recent owners, newest last. */
  history: SlotOwners[];
  /** Other entry hosts of the data centre and their incarnations. */
  others: ReadonlyMap<string, string>;
  owned: ReadonlySet<SlotKey>;
  /** Owned slots that this entry host may use. */
  usable: Set<SlotKey>;
  usageReports: Map<string, SlotUsageReport>;
  takeOverDelays: TakeOverDelay[];
};

/** Time for which a lost entry host may still use slots. */
type TakeOverDelay = {
  /** Monotonic time in milliseconds. */
  untilMs: number;
  mayUse: (slot: SlotKey) => boolean;
};

/**
 * Number of changes of owners that are remembered. An entry host whose last
 * statement is older blocks every take-over until it is heard or lost.
 */
const MAX_HISTORY = 32;

/**
 * Returns the state of an entry host that owns no slots.
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
   * Whether the own incarnation has joined. Before that, the slots under the
   * own name still belong to the process that had the name before.
   */
  isMember: boolean;
};

/**
 * Takes over new owners. Slots that this entry host no longer owns stop being
 * usable at once.
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
 * Ends the use of all slots, after the own incarnation was lost.
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
 * Delays the take-over of the slots that a lost entry host can use, until it
 * has stopped and its last requests have ended. Call it before the owners
 * change; without a member, every slot is delayed.
 *
 * @example
 * ```ts
 * const untilMs = performance.now() + 12_000;
 * delayTakeOver(handover, { untilMs, member: "detroit-2" });
 * ```
 */
export function delayTakeOver(
  handover: SlotHandover,
  fence: { untilMs: number; member: string | undefined },
): void {
  const { untilMs, member } = fence;
  const incarnation = member && handover.others.get(member);
  const mayUse = member === undefined || incarnation === undefined
    ? () => true
    : createUsePredicate(handover, member, incarnation);
  handover.takeOverDelays.push({ untilMs, mayUse });
}

/**
 * Keeps the newest statement of another entry host.
 *
 * @example
 * ```ts
 * recordSlotUsage(handover, "detroit-2", statement);
 * ```
 */
export function recordSlotUsage(
  handover: SlotHandover,
  member: string,
  statement: SlotUsageReport,
): void {
  const known = handover.usageReports.get(member);
  const isOlder = known?.incarnation === statement.incarnation &&
    known.nextOffset > statement.nextOffset;
  if (!isOlder) handover.usageReports.set(member, statement);
}

/**
 * Takes over the owned slots that nobody else can use any more, and returns
 * whether any became usable.
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
  const before = usable.size;
  for (const slot of owned) {
    if (!users.some((mayUse) => mayUse(slot))) usable.add(slot);
  }
  return usable.size > before;
}

/**
 * Returns whether another entry host can use a slot: those that its last
 * statement holds and those that it owned at any time since. Without a
 * statement that this entry host can interpret, it can use every slot.
 */
function createUsePredicate(
  handover: SlotHandover,
  member: string,
  incarnation: string,
): (slot: SlotKey) => boolean {
  const statement = handover.usageReports.get(member);
  if (statement?.incarnation !== incarnation) return () => true;
  const { basis, nextOffset, held } = statement;
  const since = handover.history.findLastIndex((entry) =>
    entry.basis === basis && entry.nextOffset <= nextOffset
  );
  if (since < 0) return () => true;
  const history = handover.history.slice(since);
  return (slot) =>
    held.has(slot) || history.some((it) => it.owners.get(slot) === member);
}

/**
 * Returns the slots that this entry host still uses without owning them.
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
