import { z } from "zod";
import { findTask } from "../job_book.ts";
import { HANDOVER_KEY } from "../topics.ts";
import type { OwnerState } from "./owner_state.ts";

/** Schema of what an owner that leaves has running. */
const Handover = z.object({
  runs: z.array(z.object({
    task: z.string(),
    run: z.number(),
    executor: z.string(),
  })),
});

/** Runs that an earlier owner has left, once it orders nothing more. */
export type Handover = z.infer<typeof Handover>;

/**
 * Stores what runs, so that the next owner waits for nothing else. An owner
 * whose own takeover is not complete can't tell, and stores nothing.
 */
export function storeHandover(owner: OwnerState): void {
  if (!owner.isLoaded || owner.unheard.size > 0) return;
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
  owner.progress.put(HANDOVER_KEY, () => JSON.stringify({ runs }));
}

/** Decodes a stored handover; undefined if there is none. */
export function decodeHandover(document: unknown): Handover | undefined {
  const parsed = Handover.safeParse(document);
  return parsed.success ? parsed.data : undefined;
}

/**
 * Applies the handover of the owner before: only the tasks that it had running
 * on executors that don't answer stay blocked. The stored handover is dropped,
 * so that it never speaks for a later owner.
 */
export function applyHandover(owner: OwnerState, handover: Handover): void {
  owner.progress.put(HANDOVER_KEY, () => undefined);
  const executors = new Set(handover.runs.map(({ executor }) => executor));
  for (const id of owner.unheard) {
    if (!executors.has(id)) owner.unheard.delete(id);
  }
  const running = new Set<unknown>();
  for (const { task, run } of handover.runs) {
    const found = findTask(owner.jobs, task);
    if (found === undefined) continue;
    found.lastRun = Math.max(found.lastRun, run);
    running.add(found);
  }
  owner.newBlockedUntilMs = 0;
  for (const job of owner.jobs.values()) {
    for (const group of job.groups) {
      for (const task of group.tasks) {
        if (!running.has(task)) task.blockedUntilMs = 0;
      }
    }
  }
}
