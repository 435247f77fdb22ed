import { sleep } from "../_sleep.ts";
import type { Machine } from "../fleet.ts";
import type { JobEventLog } from "../job_event_log.ts";
import type { MachineOutcome } from "../ports.ts";

/** Time after which an order without an effect is planned again. */
const ORDER_TTL_MS = 4_000;

/** Time for which owners are told of an executor that has ended. */
const ENDED_MS = 10_000;

/** Pause before an order without an answer is repeated. */
const ORDER_RETRY_MS = 300;

/** Order for a machine whose end has not been seen yet. */
export type MachineOrder = {
  machine: string;
  kind: "move" | "upkeep";
  /** Pool that the machine moves to; empty for an upkeep. */
  pool: string;
  reason: string;
  /** Executor of the machine when it was ordered. */
  executor: string | undefined;
  /** Steady time at which it was sent first. */
  atMs: number;
  /** Steady time of the answer. */
  answeredAtMs?: number;
};

/** Orders of one holder of the machines that are on their way. */
export type MachineOrders = {
  /** Orders whose end has not been seen, by machine. */
  open(): ReadonlyMap<string, MachineOrder>;
  /** Whether an order without an answer may still be carried out. */
  hasUnanswered(): boolean;
  /** Executors that have ended by an order lately. */
  ended(): string[];
  /** Sends an order and repeats it until its outcome is known. */
  send(
    order: Omit<MachineOrder, "atMs">,
    call: () => Promise<MachineOutcome>,
  ): Promise<MachineOutcome>;
  /** Compares the orders with a list that was asked for at a steady time. */
  settle(machines: ReadonlyMap<string, Machine>, sentMs: number): void;
};

/** Options of {@linkcode createMachineOrders}. */
export type MachineOrdersOptions = {
  epoch: number;
  events: JobEventLog;
  /** Whether this process may still order machines. */
  mayOrder(): boolean;
  isClosed(): boolean;
  /** Tells that another holder has used a higher token. */
  onFenced(): void;
};

/**
 * Creates the book of orders. The platform confirms an order that another
 * holder has had carried out before, so that an executor counts as ended only
 * once a later list shows it.
 *
 * @example
 * ```ts
 * const outcome = await orders.send(order, () => machines.move(to, holder));
 * ```
 */
export function createMachineOrders(
  options: MachineOrdersOptions,
): MachineOrders {
  const open = new Map<string, MachineOrder>();
  /** Steady time at which each ended executor was seen to have ended. */
  const endedAt = new Map<string, number>();

  const callUntilKnown = async (
    call: () => Promise<MachineOutcome>,
  ): Promise<MachineOutcome> => {
    let outcome = await call();
    while (outcome.type === "unknown" && !options.isClosed()) {
      await sleep(ORDER_RETRY_MS);
      if (options.mayOrder()) outcome = await call();
    }
    return outcome;
  };

  return {
    open: () => open,
    hasUnanswered: () =>
      [...open.values()].some(({ answeredAtMs }) => answeredAtMs === undefined),
    ended() {
      const nowMs = performance.now();
      for (const [id, atMs] of endedAt) {
        if (nowMs - atMs > ENDED_MS) endedAt.delete(id);
      }
      return [...endedAt.keys()];
    },
    async send(order, call) {
      const entry: MachineOrder = { ...order, atMs: performance.now() };
      open.set(order.machine, entry);
      const outcome = await callUntilKnown(call);
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
        open.delete(order.machine);
      }
      entry.answeredAtMs = performance.now();
      return outcome;
    },
    settle(machines, sentMs) {
      for (const [id, order] of open) {
        const { answeredAtMs, executor } = order;
        if (answeredAtMs === undefined || answeredAtMs > sentMs) continue;
        const machine = machines.get(id);
        if (executor !== undefined && hasEnded(order, machine)) {
          if (!endedAt.has(executor)) endedAt.set(executor, performance.now());
        }
        const isOver = machine === undefined || isSettled(order, machine) ||
          performance.now() - answeredAtMs > ORDER_TTL_MS;
        if (isOver) open.delete(id);
      }
    },
  };
}

/** Returns whether a list shows that the executor of an order has ended. */
function hasEnded(order: MachineOrder, machine: Machine | undefined): boolean {
  // A machine that is missing may be back with the same executor.
  if (machine === undefined) return false;
  return machine.state === "moving" || machine.state === "upkeep" ||
    (machine.executor !== undefined && machine.executor !== order.executor);
}

/** Returns whether a list that is newer than the answer shows the outcome. */
function isSettled(order: MachineOrder, machine: Machine): boolean {
  if (machine.state !== "up") return false;
  if (order.kind === "move") return machine.pool === order.pool;
  // The same executor means that the upkeep was over before the order.
  return machine.executor !== undefined;
}
