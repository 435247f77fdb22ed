import type { JobEventLog } from "../job_event_log.ts";

/** Pause between two queries after which a silence counts as a new one. */
const MAX_PAUSE_MS = 5_000;

/** How long the owners of partitions have not answered this member. */
export type OwnerSilence = {
  /** Notes that a query that began at a monotonic time has no answer yet. */
  noteUnanswered(partition: number, sinceMs: number): void;
  /** Notes that the stored state is shown. An unknown owner is empty. */
  noteStored(partition: number, owner: string): void;
  noteAnswer(partition: number): void;
  /** Time since the first query without an answer; 0 if there is none. */
  silentMs(partition: number): number;
};

/** Silence of a partition's owner. */
type Silence = {
  sinceMs: number;
  notedAtMs: number;
  /** Whether stored states were shown in its place. */
  isShown: boolean;
};

/**
 * Creates a record of the silence of owners, which queries share: a later one
 * need not wait anew to find out that an owner is silent.
 *
 * @example
 * ```ts
 * const silence = createOwnerSilence(events);
 * silence.noteUnanswered(3, startedMs);
 * if (silence.silentMs(3) > 1_000) readFromStore();
 * ```
 */
export function createOwnerSilence(events: JobEventLog): OwnerSilence {
  const silences = new Map<number, Silence>();
  const silentMs = (partition: number) => {
    const silence = silences.get(partition);
    return silence === undefined ? 0 : performance.now() - silence.sinceMs;
  };
  return {
    noteUnanswered(partition, sinceMs) {
      const notedAtMs = performance.now();
      const known = silences.get(partition);
      const goesOn = known !== undefined &&
        sinceMs - known.notedAtMs <= MAX_PAUSE_MS;
      silences.set(
        partition,
        goesOn
          ? { ...known, notedAtMs }
          : { sinceMs, notedAtMs, isShown: false },
      );
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
  };
}
