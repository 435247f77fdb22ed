import type { SchedulerService } from "./scheduler_state.ts";
import type { Urgency } from "./urgency.ts";

/** Share of starts left to normal and deferrable work by urgent work. */
export const MIN_NON_URGENT_SHARE = 0.2;

/** Share of the ordinary starts left to deferrable work by normal work. */
export const MIN_DEFERRABLE_SHARE = 0.1;

/**
 * Returns the order in which the classes of a service are served next. Higher
 * classes go first, but owe a part of their starts to lower ones that wait.
 *
 * @example
 * ```ts
 * for (const urgency of orderClasses(service)) take(urgency);
 * ```
 */
export function orderClasses(service: SchedulerService): Urgency[] {
  const nonUrgent: Urgency[] = service.deferrableCredit >= 1
    ? ["deferrable", "normal"]
    : ["normal", "deferrable"];
  return service.nonUrgentCredit >= 1
    ? [...nonUrgent, "urgent"]
    : ["urgent", ...nonUrgent];
}

/**
 * Accounts for a start of a class. Debts are bounded by one start, so that a
 * long flood of one class leads to no burst of another.
 *
 * @example
 * ```ts
 * recordClassStart(service, "urgent");
 * ```
 */
export function recordClassStart(
  service: SchedulerService,
  urgency: Urgency,
): void {
  const { normal, deferrable } = service.queues;
  const nonUrgentWaits = normal.items.length + deferrable.items.length > 0;
  if (urgency === "urgent") {
    if (!nonUrgentWaits) return;
    service.nonUrgentCredit = addCredit(
      service.nonUrgentCredit,
      MIN_NON_URGENT_SHARE,
    );
    return;
  }
  service.nonUrgentCredit = Math.max(0, service.nonUrgentCredit - 1);
  if (urgency === "deferrable") {
    service.deferrableCredit = Math.max(0, service.deferrableCredit - 1);
  } else if (deferrable.items.length > 0) {
    service.deferrableCredit = addCredit(
      service.deferrableCredit,
      MIN_DEFERRABLE_SHARE,
    );
  }
}

function addCredit(credit: number, share: number): number {
  // Rounding must not delay the start that is owed by one more start.
  return Math.min(1, credit + share / (1 - share) + 1e-9);
}
