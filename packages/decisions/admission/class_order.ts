/**
 * Order in which the priority classes of a service are served: strict priority
 * with a minimum share for the lower classes.
 *
 * @module
 */

import type { SchedulerService } from "./scheduler_state.ts";
import type { Urgency } from "./urgency.ts";

/** Minimum share of starts for normal and deferrable requests that wait. */
export const MIN_NON_URGENT_SHARE = 0.2;

/** Minimum share of the non-urgent starts for deferrable requests that wait. */
export const MIN_DEFERRABLE_SHARE = 0.1;

/**
 * Returns the order in which the classes of a service are served next. Higher
 * classes go first until lower classes that wait have a credit of one start.
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
 * Updates the credits of the lower classes after a start. A credit is at most
 * one start, so a long flood of one class causes no burst of another.
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
  // The margin keeps rounding from delaying the start that the credit allows.
  return Math.min(1, credit + share / (1 - share) + 1e-9);
}
