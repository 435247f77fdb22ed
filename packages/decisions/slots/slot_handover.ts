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
export type SlotStatement = {
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
  statements: Map<string, SlotStatement>;
  /** Monotonic time in milliseconds until which lost ones may use slots. */
  fencedUntilMs: number;
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
    statements: new Map(),
    fencedUntilMs: 0,
  };
}

/**
 * Takes over new owners. Slots that this entry host no longer owns stop being
 * usable at once.
 *
 * @example
 * ```ts
 * const others = new Map([["detroit-2", "i1"]]);
 * changeSlotOwners(handover, { basis, nextOffset, owners }, others);
 * ```
 */
export function changeSlotOwners(
  handover: SlotHandover,
  next: SlotOwners,
  others: ReadonlyMap<string, string>,
): void {
  handover.others = others;
  if (handover.history.at(-1)?.basis === next.basis) return;
  handover.history.push(next);
  if (handover.history.length > MAX_HISTORY) handover.history.shift();
  const owned = new Set<SlotKey>();
  for (const [slot, owner] of next.owners) {
    if (owner === handover.self) owned.add(slot);
  }
  handover.owned = owned;
  for (const slot of handover.usable) {
    if (!owned.has(slot)) handover.usable.delete(slot);
  }
  for (const name of handover.statements.keys()) {
    if (!others.has(name)) handover.statements.delete(name);
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
  handover.statements.clear();
}

/**
 * Delays take-overs after an entry host was lost or its incarnation replaced,
 * until it has stopped and its last requests have ended.
 *
 * @example
 * ```ts
 * fenceSlots(handover, performance.now() + 12_000);
 * ```
 */
export function fenceSlots(handover: SlotHandover, untilMs: number): void {
  handover.fencedUntilMs = Math.max(handover.fencedUntilMs, untilMs);
}

/**
 * Keeps the newest statement of another entry host.
 *
 * @example
 * ```ts
 * hearSlots(handover, "detroit-2", statement);
 * ```
 */
export function hearSlots(
  handover: SlotHandover,
  member: string,
  statement: SlotStatement,
): void {
  const known = handover.statements.get(member);
  const isOlder = known?.incarnation === statement.incarnation &&
    known.nextOffset > statement.nextOffset;
  if (!isOlder) handover.statements.set(member, statement);
}

/**
 * Takes over the owned slots that nobody else can use any more, and returns
 * whether any became usable. Another entry host can use the slots that its last
 * statement holds and those that it owned at any time since; without a
 * statement that this entry host can interpret, it can use every slot.
 *
 * @example
 * ```ts
 * if (takeOverSlots(handover, performance.now())) updateTopology();
 * ```
 */
export function takeOverSlots(handover: SlotHandover, nowMs: number): boolean {
  const { owned, usable } = handover;
  if (usable.size === owned.size || nowMs < handover.fencedUntilMs) {
    return false;
  }
  const wanted = [...owned].filter((slot) => !usable.has(slot));
  for (const [member, incarnation] of handover.others) {
    const statement = handover.statements.get(member);
    if (statement?.incarnation !== incarnation) return false;
    const since = indexOfBasis(handover.history, statement);
    if (since < 0) return false;
    const owners = handover.history.slice(since);
    for (let index = wanted.length - 1; index >= 0; index--) {
      const slot = wanted[index]!;
      const isPossible = statement.held.has(slot) ||
        owners.some((entry) => entry.owners.get(slot) === member);
      if (isPossible) wanted.splice(index, 1);
    }
  }
  for (const slot of wanted) usable.add(slot);
  return wanted.length > 0;
}

/** Finds the owners that a statement refers to; -1 if they are not known. */
function indexOfBasis(
  history: readonly SlotOwners[],
  statement: SlotStatement,
): number {
  return history.findLastIndex((entry) =>
    entry.basis === statement.basis && entry.nextOffset <= statement.nextOffset
  );
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
