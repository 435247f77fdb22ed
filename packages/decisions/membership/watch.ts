import { LOSS_MS } from "./slot_rights.ts";

/**
 * Longest gap between two calls of {@linkcode findLosses} in milliseconds.
 * After a longer one the process was paused or overloaded, and heartbeats may
 * wait unread.
 */
const MAX_GAP_MS = 1_000;

/** Member with its incarnation. */
export type WatchedMember = { name: string; incarnation: string };

/** Watch of one entry host over others. */
export type Watch = {
  /** Monotonic time of the last heartbeat by `name incarnation`. */
  heardAtMs: Map<string, number>;
  /** Members whose loss was reported without a known outcome. */
  reported: Set<string>;
  checkedAtMs: number | undefined;
};

/**
 * Returns a watch that has heard nobody.
 *
 * @example
 * ```ts
 * const watch = createWatch();
 * ```
 */
export function createWatch(): Watch {
  return { heardAtMs: new Map(), reported: new Set(), checkedAtMs: undefined };
}

/**
 * Notes a heartbeat and returns for how many milliseconds the sender will not
 * be reported as lost. There is no promise while a report may be under way.
 *
 * @example
 * ```ts
 * const promiseMs = noteHeartbeat(watch, sender, performance.now());
 * ```
 */
export function noteHeartbeat(
  watch: Watch,
  sender: WatchedMember,
  nowMs: number,
): number {
  const key = keyOf(sender);
  watch.heardAtMs.set(key, nowMs);
  return watch.reported.has(key) ? 0 : LOSS_MS;
}

/**
 * Returns the watched members to report as lost, and marks them as reported.
 * A member counts as heard when its watch begins.
 *
 * @example
 * ```ts
 * for (const lost of findLosses(watch, watched, performance.now())) {
 *   report(lost);
 * }
 * ```
 */
export function findLosses(
  watch: Watch,
  watched: readonly WatchedMember[],
  nowMs: number,
): WatchedMember[] {
  const gapMs = nowMs - (watch.checkedAtMs ?? nowMs);
  watch.checkedAtMs = nowMs;
  if (gapMs > MAX_GAP_MS) watch.heardAtMs.clear();
  const lost: WatchedMember[] = [];
  for (const member of watched) {
    const key = keyOf(member);
    const heardAtMs = watch.heardAtMs.get(key);
    if (heardAtMs === undefined) watch.heardAtMs.set(key, nowMs);
    if (watch.reported.has(key)) continue;
    if (heardAtMs === undefined || nowMs - heardAtMs < LOSS_MS) continue;
    watch.reported.add(key);
    lost.push(member);
  }
  return lost;
}

/**
 * Ends a report that did not take effect and cannot any more.
 *
 * @example
 * ```ts
 * withdrawReport(watch, member);
 * ```
 */
export function withdrawReport(watch: Watch, member: WatchedMember): void {
  watch.reported.delete(keyOf(member));
}

/**
 * Forgets the incarnations that are no longer members.
 *
 * @example
 * ```ts
 * forgetMembers(watch, [...state.members.values()]);
 * ```
 */
export function forgetMembers(
  watch: Watch,
  members: readonly WatchedMember[],
): void {
  const current = new Set(members.map(keyOf));
  for (const key of watch.heardAtMs.keys()) {
    if (!current.has(key)) watch.heardAtMs.delete(key);
  }
  for (const key of watch.reported) {
    if (!current.has(key)) watch.reported.delete(key);
  }
}

function keyOf({ name, incarnation }: WatchedMember): string {
  return `${name} ${incarnation}`;
}
