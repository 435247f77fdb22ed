import { z } from "zod";
import { findTask, type Task } from "../job.ts";
import { HANDOVER_KEY } from "../topics.ts";
import type { OwnerState } from "./owner_state.ts";

/** Schema of a run that an owner leaves behind. */
const HandoverRun = z.object({
  task: z.string(),
  run: z.number(),
  executor: z.string(),
  /** Time for which the executor's lease may last, from the handover on. */
  leaseMs: z.number(),
});

/** Run that an owner leaves behind. */
export type HandoverRun = z.infer<typeof HandoverRun>;

/** Schema of what an owner that leaves has running. */
const Handover = z.object({
  runs: z.array(HandoverRun),
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
  const handover = createHandover(owner);
  owner.progress.put(HANDOVER_KEY, () => JSON.stringify(handover));
}

function createHandover(owner: OwnerState): Handover {
  const runs: HandoverRun[] = [];
  for (const worker of owner.workers.values()) {
    for (const run of worker.runs) {
      runs.push({
        task: run.task.name,
        run: run.number,
        executor: worker.id,
        leaseMs: msUntil(worker.leaseEndsMs),
      });
    }
  }
  const unheard = [...owner.unconfirmedExecutors.keys()];
  if (unheard.length === 0) return { runs, unheard, blockedMs: 0 };
  if (owner.inheritedRuns !== undefined) {
    // What the owner before has named is all that they may run.
    for (const [executor, endsMs] of owner.unconfirmedExecutors) {
      for (const handed of owner.inheritedRuns.get(executor) ?? []) {
        runs.push({ ...handed, leaseMs: msUntil(endsMs) });
      }
    }
    return { runs, unheard: [], blockedMs: 0 };
  }
  return { runs, unheard, blockedMs: msUntil(owner.blockedUntilMs) };
}

function msUntil(steadyMs: number): number {
  return Math.max(0, Math.ceil(steadyMs - performance.now()));
}

/** Decodes a stored handover; undefined if there is none. */
export function decodeHandover(document: unknown): Handover | undefined {
  const parsed = Handover.safeParse(document);
  return parsed.success ? parsed.data : undefined;
}

/**
 * Applies the handover of the owner before: a task that it had running stays
 * blocked until its executor answers or the lease there has ended. If it had
 * not heard of all executors, the other tasks stay blocked for as long as it
 * would have waited. The stored handover is dropped, so that it never speaks
 * for a later owner.
 */
export function applyHandover(owner: OwnerState, handover: Handover): void {
  owner.progress.put(HANDOVER_KEY, () => undefined);
  const { runs, unheard, blockedMs } = handover;
  const nowMs = performance.now();
  const othersMs = unheard.length === 0 ? 0 : nowMs + blockedMs;
  owner.blockedUntilMs = othersMs;
  owner.inheritedRuns = unheard.length === 0 ? new Map() : undefined;
  owner.unconfirmedExecutors = new Map(unheard.map((id) => [id, othersMs]));
  const blocked = new Map<Task, number>();
  for (const handed of runs) {
    const { executor, leaseMs } = handed;
    const endsMs = Math.max(
      nowMs + leaseMs,
      owner.unconfirmedExecutors.get(executor) ?? 0,
    );
    owner.unconfirmedExecutors.set(executor, endsMs);
    addHanded(owner, handed);
    const task = findTask(owner.jobs, handed.task);
    if (task === undefined) continue;
    task.lastRunNumber = Math.max(task.lastRunNumber, handed.run);
    blocked.set(task, Math.max(endsMs, blocked.get(task) ?? 0));
  }
  for (const job of owner.jobs.values()) {
    for (const group of job.groups) {
      for (const task of group.tasks) {
        task.blockedUntilMs = blocked.get(task) ?? othersMs;
      }
    }
  }
}

function addHanded(owner: OwnerState, handed: HandoverRun): void {
  const { inheritedRuns: handedRuns } = owner;
  if (handedRuns === undefined) return;
  const known = handedRuns.get(handed.executor);
  if (known === undefined) handedRuns.set(handed.executor, [handed]);
  else known.push(handed);
}
