/**
 * What a member knows of full services, and its decision on jobs of
 * organisations that send more than their weight. It answers a load of one
 * organisation that is several times its usual one: what could only wait is
 * refused at once, so that its callers know when to come back.
 *
 * @module
 */

import type { FullService } from "./full_services.ts";

/** Age from which on what an owner has said does not count any more. */
const MAX_AGE_MS = 2_000;

/** Longest time after which a caller is asked to come back. */
const MAX_RETURN_MS = 30_000;

/** Job that an organisation sends to a service. */
export type ArrivingJob = {
  partition: number;
  service: string;
  organisation: string;
};

/** View of one member; all times are monotonic. */
export type AdmissionView = {
  /** Takes over what the owner of a partition has said just now. */
  note(partition: number, full: readonly FullService[]): void;
  /** Returns whether the job would only wait, as far as this member knows. */
  isBeyondWeight(job: ArrivingJob): boolean;
  /**
   * Returns the time in milliseconds after which the weight of the
   * organisation allows one more job. Each call takes such a time, so that the
   * callers whom this member refuses come back one after the other.
   */
  takeReturnMs(job: ArrivingJob): number;
};

/** What is known of an organisation at a full service. */
type Spent = { readyAtMs: number; intervalMs: number };

type Note = {
  notedAtMs: number;
  /** By service and organisation. */
  spent: Map<string, Map<string, Spent>>;
};

/**
 * Creates a view that knows of no full service.
 *
 * @example
 * ```ts
 * const view = createAdmissionView();
 * view.note(3, [{ service: "quoting", spent: [] }]);
 * view.isBeyondWeight({ partition: 3, service: "quoting", organisation });
 * ```
 */
export function createAdmissionView(): AdmissionView {
  const notes = new Map<number, Note>();
  /** Monotonic time of the next return, by service and organisation. */
  const returns = new Map<string, number>();

  const find = ({ partition, service, organisation }: ArrivingJob) => {
    const note = notes.get(partition);
    if (note === undefined) return undefined;
    if (performance.now() - note.notedAtMs >= MAX_AGE_MS) return undefined;
    return note.spent.get(service)?.get(organisation);
  };

  return {
    note(partition, full) {
      const notedAtMs = performance.now();
      if (full.length === 0) return void notes.delete(partition);
      const spent = new Map(full.map((entry) => [
        entry.service,
        new Map(entry.spent.map(({ organisation, readyInMs, intervalMs }) => [
          organisation,
          { readyAtMs: notedAtMs + readyInMs, intervalMs },
        ])),
      ]));
      notes.set(partition, { notedAtMs, spent });
    },
    isBeyondWeight(job) {
      const spent = find(job);
      return spent !== undefined && performance.now() < spent.readyAtMs;
    },
    takeReturnMs(job) {
      const nowMs = performance.now();
      const { readyAtMs, intervalMs } = find(job) ??
        { readyAtMs: nowMs, intervalMs: 0 };
      const key = JSON.stringify([job.service, job.organisation]);
      const latestMs = nowMs + MAX_RETURN_MS;
      const returnAtMs = Math.max(readyAtMs, returns.get(key) ?? 0);
      returns.set(key, Math.min(returnAtMs + intervalMs, latestMs));
      return Math.min(returnAtMs, latestMs) - nowMs;
    },
  };
}
