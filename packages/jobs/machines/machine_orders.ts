/**
 * Sends orders to move or maintain machines and follows them until the list of
 * machines shows their effect.
 *
 * @module
 */

import { sleep } from "../_sleep.ts";
import type { Machine } from "../fleet.ts";
import type { JobEventLog } from "../job_event_log.ts";
import type { MachineOutcome } from "../ports.ts";

/**
 * Time after which an answered order without a visible effect is dropped, so
 * that it can be planned again.
 */
const ORDER_TTL_MS = 4_000;

/** Time for which an ended executor is reported to partition owners. */
const REPORT_ENDED_MS = 10_000;

/** Delay before an order with an unknown outcome is retried. */
const ORDER_RETRY_DELAY_MS = 300;

/** Order to move or maintain a machine. */
export type MachineOrder = {
  machine: string;
  kind: "move" | "upkeep";
  /** Pool that the machine moves to; empty for upkeep. */
  pool: string;
  reason: string;
  /** Executor that ran on the machine when the order was sent. */
  executor: string | undefined;
  /** Monotonic time at which the order was first sent. */
  sentAtMs: number;
  /** Monotonic time at which the outcome was known. */
  answeredAtMs?: number;
};

/** Orders of one owner of the machines that have not taken effect. */
export type MachineOrders = {
  /** Returns the orders whose effect has not been seen, by machine. */
  unsettled(): ReadonlyMap<string, MachineOrder>;
  /** Returns whether an order without an answer may still be executed. */
  hasUnanswered(): boolean;
  /** Returns the executors that an order has recently ended. */
  endedExecutors(): string[];
  /** Sends an order and retries it until its outcome is known. */
  send(
    order: Omit<MachineOrder, "sentAtMs">,
    call: () => Promise<MachineOutcome>,
  ): Promise<MachineOutcome>;
  /**
   * Compares the orders with a list of machines and drops those that have taken
   * effect. `requestedAtMs` is the monotonic time of the request for the list.
   */
  reconcile(
    machines: ReadonlyMap<string, Machine>,
    requestedAtMs: number,
  ): void;
};

/** Options of {@linkcode createMachineOrders}. */
export type MachineOrdersOptions = {
  epoch: number;
  events: JobEventLog;
  /**
   * Returns whether an order without an answer may be sent again now. What its
   * executor was reserved for may have lapsed since the order was first sent.
   */
  mayRetry(order: MachineOrder): boolean;
  isClosed(): boolean;
  /** Called when an order was refused for an outdated fencing token. */
  onFenced(): void;
};

/**
 * Creates the set of orders of one owner. The platform also confirms an order
 * that was already executed for an earlier owner. So an executor counts as
 * ended only once a list requested after the answer shows it.
 *
 * @example
 * ```ts
 * const outcome = await orders.send(order, () => machines.move(to, holder));
 * ```
 */
export function createMachineOrders(
  options: MachineOrdersOptions,
): MachineOrders {
  const orders = new Map<string, MachineOrder>();
  /** Monotonic time at which an executor was found to have ended, by id. */
  const endedAtMs = new Map<string, number>();

  const callUntilKnown = async (
    order: MachineOrder,
    call: () => Promise<MachineOutcome>,
  ): Promise<MachineOutcome> => {
    let outcome = await call();
    while (outcome.type === "unknown" && !options.isClosed()) {
      await sleep(ORDER_RETRY_DELAY_MS);
      if (options.mayRetry(order)) outcome = await call();
    }
    return outcome;
  };

  return {
    unsettled: () => orders,
    hasUnanswered: () =>
      [...orders.values()].some(({ answeredAtMs }) =>
        answeredAtMs === undefined
      ),
    endedExecutors() {
      const nowMs = performance.now();
      for (const [id, atMs] of endedAtMs) {
        if (nowMs - atMs > REPORT_ENDED_MS) endedAtMs.delete(id);
      }
      return [...endedAtMs.keys()];
    },
    async send(order, call) {
      const entry: MachineOrder = { ...order, sentAtMs: performance.now() };
      orders.set(order.machine, entry);
      const outcome = await callUntilKnown(entry, call);
      options.events.log("machineOrdered", {
        machine: order.machine,
        order: order.kind,
        pool: order.pool,
        epoch: options.epoch,
        reason: order.reason,
        outcome: outcome.type === "refused" ? outcome.reason : outcome.type,
      });
      if (outcome.type === "refused") {
        if (outcome.reason === "fence") options.onFenced();
        orders.delete(order.machine);
      }
      entry.answeredAtMs = performance.now();
      return outcome;
    },
    reconcile(machines, requestedAtMs) {
      for (const [id, order] of orders) {
        const { answeredAtMs, executor } = order;
        if (answeredAtMs === undefined || answeredAtMs > requestedAtMs) {
          continue;
        }
        const machine = machines.get(id);
        if (executor !== undefined && hasEnded(order, machine)) {
          if (!endedAtMs.has(executor)) {
            endedAtMs.set(executor, performance.now());
          }
        }
        const isSettled = machine === undefined ||
          hasTakenEffect(order, machine) ||
          performance.now() - answeredAtMs > ORDER_TTL_MS;
        if (isSettled) orders.delete(id);
      }
    },
  };
}

/** Returns whether the listed machine shows that the order's executor ended. */
function hasEnded(order: MachineOrder, machine: Machine | undefined): boolean {
  // A missing machine may reappear with the same executor.
  if (machine === undefined) return false;
  return machine.state === "moving" || machine.state === "upkeep" ||
    (machine.executor !== undefined && machine.executor !== order.executor);
}

/** Returns whether the listed machine shows the effect of the order. */
function hasTakenEffect(order: MachineOrder, machine: Machine): boolean {
  if (machine.state !== "up") return false;
  if (order.kind === "move") return machine.pool === order.pool;
  // The same executor as before means that the upkeep had already been done.
  return machine.executor !== undefined;
}
