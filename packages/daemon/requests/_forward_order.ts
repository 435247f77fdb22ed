import {
  notRun,
  type Order,
  type OrderOutcome,
  unknownOutcome,
} from "./_order.ts";
import { fromWireAnswer, toWireHeaders } from "./_wire.ts";
import type { RequestPathDependencies } from "./dependencies.ts";

/** Has another entry host run an order and waits until its deadline. */
export async function forwardOrder(
  order: Order,
  member: string,
  options: { dependencies: RequestPathDependencies },
): Promise<OrderOutcome> {
  const { dependencies } = options;
  const remainingMs = Math.floor(order.deadlineAtMs - dependencies.nowMs());
  if (remainingMs <= 0) return notRun("deadline");
  const call = dependencies.forward(member, {
    requestId: order.id,
    service: order.service,
    urgency: order.urgency,
    method: order.method,
    path: order.path,
    headers: toWireHeaders(order.headers),
    body: order.body,
    remainingMs,
    idempotent: order.isIdempotent,
  }).catch(() => ({ type: "unknown" as const }));
  const result = await withinMs(call, remainingMs);
  switch (result?.type) {
    case undefined:
      return unknownOutcome("deadline");
    case "answer":
      return fromWireAnswer(result.answer);
    case "not-sent":
      return notRun("forward");
    case "unknown":
      return unknownOutcome("forward");
    case "failure":
      return result.notRun
        ? notRun(result.reason, result.retryAfterMs)
        : unknownOutcome(result.reason);
  }
}

/** Waits for a result for a limited time. */
export function withinMs<Result>(
  result: Promise<Result>,
  waitMs: number,
): Promise<Result | undefined> {
  return new Promise((resolve, reject) => {
    const timeout = setTimeout(resolve, waitMs, undefined);
    result.then(resolve, reject).finally(() => clearTimeout(timeout));
  });
}
