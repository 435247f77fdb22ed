/**
 * Observer at the executors, which sees what really runs there.
 *
 * @module
 */

import type { MemoryExecutor, MemoryExecutors } from "@lagoonloom/standins";

/** End `done` of a run, and whether an owner has taken note of it. */
type DoneEnd = {
  task: string;
  executor: MemoryExecutor;
  sequence: number;
  atMs: number;
  /** Whether its executor's lease lapsed before an owner took note. */
  hasLapsed: boolean;
  isAcknowledged: boolean;
};

type Start = { task: string; run: number; executor: string; atMs: number };

/** What has gone wrong at the executors. */
export type RunObserver = {
  /** Observes an executor from now on. */
  add(executor: MemoryExecutor): void;
  starts: Start[];
  /** Rules that were broken, each told once by task. */
  violations: string[];
  /** Looks at the executors; to be called after each start. */
  check(): void;
  /** Looks for starts after ends that an owner has taken note of. */
  checkEnds(): void;
};

/** Creates an observer of executors. */
export function observeRuns(executors: MemoryExecutors): RunObserver {
  const observed: MemoryExecutor[] = [];
  const starts: Start[] = [];
  const doneEnds: DoneEnd[] = [];
  const violations: string[] = [];
  const reported = new Set<string>();
  const seenStarts = new Map<MemoryExecutor, number>();

  const report = (task: string, text: string) => {
    if (reported.has(task)) return;
    reported.add(task);
    violations.push(`${Math.round(performance.now())} ms: ${task} ${text}`);
  };

  const observeEnds = (executor: MemoryExecutor) => {
    const { end } = executor;
    executor.end = (task, result) => {
      const isRunning = executor.running.has(task);
      end(task, result);
      if (result !== "done" || !isRunning) return;
      const { sequence } = executor.ends.at(-1)!;
      const atMs = performance.now();
      doneEnds.push({
        task,
        executor,
        sequence,
        atMs,
        hasLapsed: false,
        isAcknowledged: false,
      });
    };
  };

  const noteStarts = (executor: MemoryExecutor) => {
    const { starts: all, report: { id } } = executor;
    for (const { task, run } of all.slice(seenStarts.get(executor))) {
      starts.push({ task, run, executor: id, atMs: performance.now() });
    }
    seenStarts.set(executor, all.length);
  };

  const noteAcknowledgements = () => {
    for (const done of doneEnds) {
      if (done.isAcknowledged) continue;
      const { executor } = done;
      done.isAcknowledged = !executor.ends.some(({ sequence }) =>
        sequence === done.sequence
      );
      const clockMs = performance.now() + executor.clockOffsetMs;
      done.hasLapsed ||= clockMs > executor.leaseExpiryMs;
    }
  };

  return {
    starts,
    violations,
    add(executor) {
      observed.push(executor);
      seenStarts.set(executor, 0);
      observeEnds(executor);
    },
    check() {
      const runs = new Map<string, string>();
      for (const executor of observed) {
        const { id, address } = executor.report;
        // A call that is refused only ends what the lease does not cover.
        const refused = { token: -1, acknowledgedSequence: 0, waitMs: 0 };
        void executors.poll({ id, address }, refused);
        noteStarts(executor);
        for (const [task, { run }] of executor.running) {
          const other = runs.get(task);
          if (other !== undefined) {
            report(task, `runs on ${other} and as run ${run} on ${id}`);
          }
          runs.set(task, `${id} as run ${run}`);
        }
      }
      noteAcknowledgements();
    },
    checkEnds() {
      for (const { task, executor, atMs, ...done } of doneEnds) {
        if (!done.isAcknowledged || done.hasLapsed) continue;
        const later = starts.find((start) =>
          start.task === task && start.atMs > atMs
        );
        if (later === undefined) continue;
        const { id } = executor.report;
        report(
          task,
          `done on ${id} at ${Math.round(atMs)} ms, was started on ` +
            `${later.executor} at ${Math.round(later.atMs)} ms`,
        );
      }
    },
  };
}
