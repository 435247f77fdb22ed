import {
  type ExecutorState,
  isOfService,
  isWithin,
  occupiedBy,
} from "../executor_state.ts";
import type { TaskGroup } from "../job.ts";
import type { Size } from "../submission.ts";

/** Reason why a schedulable executor can't take a task. */
export type Obstacle = "service" | "full" | "label" | "spread" | "ticket";

/** Options of {@linkcode findObstacle}. */
export type FindObstacleOptions = {
  /** Free capacity of the executor. */
  free: Size;
  /** Tasks of the group that are placed there and have no run yet. */
  placedCount: number;
  /** Whether an executor may run a step; true for all if undefined. */
  mayRun?(group: TaskGroup, executor: ExecutorState): boolean;
};

/**
 * Returns why an executor can't take one more task of a group; undefined if it
 * can.
 */
export function findObstacle(
  group: TaskGroup,
  executor: ExecutorState,
  { free, placedCount, mayRun }: FindObstacleOptions,
): Obstacle | undefined {
  const { label, maxPerExecutor } = group.step;
  if (!isOfService(executor, group)) return "service";
  if (!isWithin(occupiedBy(group), free)) return "full";
  if (label !== "" && !executor.report.labels.includes(label)) return "label";
  if (maxPerExecutor > 0) {
    let groupTasks = placedCount;
    for (const run of executor.runs) if (run.task.group === group) groupTasks++;
    if (groupTasks >= maxPerExecutor) return "spread";
  }
  const isAllowed = mayRun?.(group, executor) ?? true;
  return isAllowed ? undefined : "ticket";
}
