/**
 * Forwarding of requests to other entry hosts.
 *
 * @module
 */

import {
  notRunOutcome,
  type RequestOutcome,
  type RoutedRequest,
  unknownOutcome,
} from "./_routed_request.ts";
import { fromWireAnswer, toWireHeaders } from "./_wire.ts";
import type { RequestPathDependencies } from "./dependencies.ts";

/**
 * Forwards a request to another entry host and waits for its outcome until the
 * deadline of the request.
 */
export async function forwardRequest(
  order: RoutedRequest,
  member: string,
  options: { dependencies: RequestPathDependencies },
): Promise<RequestOutcome> {
  const { dependencies } = options;
  const remainingMs = Math.floor(order.deadlineAtMs - dependencies.nowMs());
  if (remainingMs <= 0) return notRunOutcome("deadline");
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
  const result = await withTimeout(call, remainingMs);
  switch (result?.type) {
    case undefined:
      return unknownOutcome("deadline");
    case "answer":
      return fromWireAnswer(result.answer);
    case "not-sent":
      return notRunOutcome("forward");
    case "unknown":
      return unknownOutcome("forward");
    case "failure":
      return result.notRun
        ? notRunOutcome(result.reason, result.retryAfterMs)
        : unknownOutcome(result.reason);
  }
}

/** Waits for a result; resolves with undefined after a timeout. */
export function withTimeout<Result>(
  result: Promise<Result>,
  waitMs: number,
): Promise<Result | undefined> {
  return new Promise((resolve, reject) => {
    const timeout = setTimeout(resolve, waitMs, undefined);
    result.then(resolve, reject).finally(() => clearTimeout(timeout));
  });
}
