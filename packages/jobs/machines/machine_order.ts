import type { Machine } from "../fleet.ts";

/** Order for a machine whose end has not been seen yet. */
export type MachineOrder = {
  /** Steady time at which it was sent first. */
  atMs: number;
  kind: "move" | "upkeep";
  /** Pool that the machine moves to. */
  pool: string;
  reason: string;
  /** Executor of the machine when it was ordered. */
  executor: string | undefined;
  /** Steady time of the answer. */
  answeredAtMs?: number;
};

/** Returns whether a list that was asked for at a time shows an order's end. */
export function hasTakenEffect(
  machine: Machine,
  { order, sentMs }: { order: MachineOrder; sentMs: number },
): boolean {
  if (machine.state !== "up") return false;
  if (order.kind === "move") return machine.pool === order.pool;
  return order.answeredAtMs !== undefined && sentMs > order.answeredAtMs &&
    machine.executor !== undefined && machine.executor !== order.executor;
}
