import type { JobEventLog } from "../job_event_log.ts";

/** Pause between two queries after which a silence counts as a new one. */
const MAX_PAUSE_MS = 5_000;

/** How long the owners of partitions have not answered this member. */
export type OwnerSilence = {
  /**
   * Notes that a query that began at a monotonic time has no answer yet, and
   * the owner that the store names; empty if it names no other member.
   */
  noteUnanswered(
    partition: number,
    query: { owner: string; startedMs: number },
  ): void;
  /** Notes that a member has answered that it is not the owner. */
  noteDenial(partition: number): void;
  /** Notes that the stored state is shown. An unknown owner is empty. */
  noteStored(partition: number, owner: string): void;
  noteAnswer(partition: number): void;
  /** Time since the first query without an answer; 0 if there is none. */
  silentMs(partition: number): number;
  /** Time for which the same owner was named and gave no answer at all. */
  ownerSilentMs(partition: number): number;
};

/** Silence of a partition's owners. */
type Silence = {
  sinceMs: number;
  /** Owner that was named last. */
  owner: string;
  ownerSinceMs: number;
  notedAtMs: number;
  /** Whether stored states were shown in their place. */
  isShown: boolean;
};

/**
 * Creates a record of the silence of owners, which queries share: a later one
 * need not wait anew to find out that an owner is silent.
 *
 * @example
 * ```ts
 * const silence = createOwnerSilence(events);
 * silence.noteUnanswered(3, { owner: "10.3.0.231:7060", startedMs });
 * if (silence.ownerSilentMs(3) > 2_000) readFromStore();
 * ```
 */
export function createOwnerSilence(events: JobEventLog): OwnerSilence {
  const silences = new Map<number, Silence>();
  const ageOf = (ms: number | undefined) =>
    ms === undefined ? 0 : performance.now() - ms;
  const silentMs = (partition: number) =>
    ageOf(silences.get(partition)?.sinceMs);
  return {
    noteUnanswered(partition, { owner, startedMs }) {
      const nowMs = performance.now();
      const known = silences.get(partition);
      if (
        known === undefined || startedMs - known.notedAtMs > MAX_PAUSE_MS
      ) {
        silences.set(partition, {
          sinceMs: startedMs,
          owner,
          ownerSinceMs: startedMs,
          notedAtMs: nowMs,
          isShown: false,
        });
        return;
      }
      if (known.owner !== owner) known.ownerSinceMs = nowMs;
      known.owner = owner;
      known.notedAtMs = nowMs;
    },
    noteDenial(partition) {
      const known = silences.get(partition);
      if (known !== undefined) known.ownerSinceMs = performance.now();
    },
    noteStored(partition, owner) {
      const silence = silences.get(partition);
      if (silence === undefined || silence.isShown) return;
      silence.isShown = true;
      events.log("storedStatesShown", {
        partition,
        owner,
        silentMs: Math.round(silentMs(partition)),
      });
    },
    noteAnswer(partition) {
      if (silences.get(partition)?.isShown === true) {
        events.log("ownerAnswersAgain", {
          partition,
          silentMs: Math.round(silentMs(partition)),
        });
      }
      silences.delete(partition);
    },
    silentMs,
    ownerSilentMs(partition) {
      const silence = silences.get(partition);
      return silence === undefined || silence.owner === ""
        ? 0
        : ageOf(silence.ownerSinceMs);
    },
  };
}
