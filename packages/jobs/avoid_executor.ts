import type { Task } from "./model.ts";

/** Most executors that a task avoids; one more replaces the oldest. */
const MAX_AVOIDED_EXECUTORS = 32;

/** Has a task go to other executors than this one, if others have capacity. */
export function avoidExecutor(
  { avoidedExecutors }: Task,
  executor: string,
): void {
  avoidedExecutors.add(executor);
  if (avoidedExecutors.size <= MAX_AVOIDED_EXECUTORS) return;
  const [oldest] = avoidedExecutors;
  avoidedExecutors.delete(oldest!);
}
