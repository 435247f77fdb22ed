import { z } from "zod";
import { findTask } from "../job_book.ts";
import { HANDOVER_KEY } from "../topics.ts";
import { longestLeaseMs, type OwnerState } from "./owner_state.ts";

/** Schema of what an owner that leaves has running. */
const Handover = z.object({
  runs: z.array(z.object({
    task: z.string(),
    run: z.number(),
    executor: z.string(),
  })),
  /** Executors that may run what the owner does not know of. */
  unheard: z.array(z.string()),
  /** Time for which they may, in milliseconds from the handover on. */
  blockedMs: z.number(),
});

/** Runs that an earlier owner has left, once it orders nothing more. */
export type Handover = z.infer<typeof Handover>;

/**
 * Stores what runs, and which executors this owner has not heard of itself, so
 * that the next owner waits for nothing else.
 */
export function storeHandover(owner: OwnerState): void {
  if (!owner.isLoaded) return;
  const runs: Handover["runs"] = [];
  for (const worker of owner.workers.values()) {
    for (const run of worker.runs) {
      runs.push({
        task: run.task.name,
        run: run.number,
        executor: worker.id,
      });
    }
  }
  const unheard = [...owner.unheard];
  const blockedMs = unheard.length === 0
    ? 0
    : Math.max(0, Math.ceil(owner.blockedUntilMs - performance.now()));
  const handover: Handover = { runs, unheard, blockedMs };
  owner.progress.put(HANDOVER_KEY, () => JSON.stringify(handover));
}

/** Decodes a stored handover; undefined if there is none. */
export function decodeHandover(document: unknown): Handover | undefined {
  const parsed = Handover.safeParse(document);
  return parsed.success ? parsed.data : undefined;
}

/**
 * Applies the handover of the owner before: only tasks that it had running stay
 * blocked, and, if it had not heard of all executors, the others for as long as
 * it would have waited. The stored handover is dropped, so that it never speaks
 * for a later owner.
 */
export function applyHandover(owner: OwnerState, handover: Handover): void {
  owner.progress.put(HANDOVER_KEY, () => undefined);
  const { runs, unheard, blockedMs } = handover;
  owner.unheard = new Set([
    ...unheard,
    ...runs.map(({ executor }) => executor),
  ]);
  const nowMs = performance.now();
  const othersMs = unheard.length === 0 ? 0 : nowMs + blockedMs;
  // The earlier owner renews nothing any more.
  const leasesMs = nowMs + longestLeaseMs(owner.options.leaseMs);
  owner.blockedUntilMs = Math.max(othersMs, runs.length === 0 ? 0 : leasesMs);
  owner.newBlockedUntilMs = 0;
  const running = new Set<unknown>();
  for (const { task, run } of runs) {
    const found = findTask(owner.jobs, task);
    if (found === undefined) continue;
    found.lastRun = Math.max(found.lastRun, run);
    running.add(found);
  }
  for (const job of owner.jobs.values()) {
    for (const group of job.groups) {
      for (const task of group.tasks) {
        task.blockedUntilMs = running.has(task)
          ? owner.blockedUntilMs
          : othersMs;
      }
    }
  }
}
