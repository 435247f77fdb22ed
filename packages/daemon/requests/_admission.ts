import type { CallerRequest } from "@lagoonloom/callers";
import { Urgency } from "@lagoonloom/decisions";
import type { Service } from "@lagoonloom/objects";
import type { Dispatcher } from "./_dispatcher.ts";
import {
  notRunOutcome,
  type RequestOutcome,
  type RoutedRequest,
} from "./_routed_request.ts";
import { digestKey } from "./_request_digests.ts";
import type { OrderDeduplicator } from "./_order_deduplicator.ts";
import type { RequestPathDependencies } from "./dependencies.ts";
import type { ForwardedRequest } from "./forwarded.ts";

/**
 * Deadline of a request that states none and whose service is unknown. A
 * repeated order gets its recorded outcome even if its service was removed.
 */
const DEFAULT_DEADLINE_MS = 2_000;

/**
 * Creates the admission of requests. It gives each request an id and a
 * deadline, refuses requests that can't be served, and passes idempotent ones
 * to the dispatcher and orders, which need an idempotency key, to the
 * deduplicator.
 */
export function createAdmission(
  dependencies: RequestPathDependencies,
  parts: { dispatcher: Dispatcher; deduplicator: OrderDeduplicator },
) {
  const { settings } = dependencies;
  const { dispatcher, deduplicator } = parts;
  let lastId = 0;
  let isRefusingOrders = false;
  return {
    admitCallerRequest,
    admitForwardedRequest,
  };

  /** Admits a request of a caller and resolves with its outcome. */
  function admitCallerRequest(
    request: CallerRequest,
    options: { isStopping: boolean },
  ): Promise<RequestOutcome> {
    const service = dependencies.findService(request.service);
    const routed = toRoutedRequest(request, service);
    const refuseNewReason = reasonToRefuse(routed, service, options);
    const { idempotencyKey, signal, caller } = request;
    if (routed.isIdempotent) {
      if (refuseNewReason !== undefined) {
        return Promise.resolve(notRunOutcome(refuseNewReason));
      }
      signal.addEventListener("abort", () => dispatcher.cancel(routed.id));
      return dispatcher.run(routed);
    }
    if (idempotencyKey === undefined) {
      const reason = service === undefined ? "unknown-service" : "key-required";
      return Promise.resolve(notRunOutcome(reason));
    }
    const key = digestKey(caller, idempotencyKey);
    return deduplicator.run({ order: routed, key, refuseNewReason, signal });
  }

  /** Returns why a request that is no repeat is refused, if it is. */
  function reasonToRefuse(
    routed: RoutedRequest,
    service: Service | undefined,
    options: { isStopping: boolean },
  ): string | undefined {
    if (service === undefined) return "unknown-service";
    if (options.isStopping) return "stopping";
    if (routed.isIdempotent) return undefined;
    const isFresh = dependencies.logIsFresh();
    if (isFresh === isRefusingOrders) {
      isRefusingOrders = !isFresh;
      if (isFresh) dependencies.events.log("ordersAccepted", {});
      else {
        const reason = "The claims read from the log are not recent enough.";
        dependencies.events.log("ordersRefused", { reason });
      }
    }
    return isFresh ? undefined : "log-unavailable";
  }

  function toRoutedRequest(
    request: CallerRequest,
    service: Service | undefined,
  ): RoutedRequest {
    const nowMs = dependencies.nowMs();
    const deadlineMs = request.deadlineMs ?? service?.deadline_ms ??
      DEFAULT_DEADLINE_MS;
    lastId += 1;
    return {
      id: `${settings.member}.${settings.incarnation}.${lastId}`,
      service: request.service,
      method: request.method,
      path: request.path,
      headers: request.headers,
      body: request.body,
      urgency: request.urgency,
      arrivedAtMs: nowMs,
      deadlineAtMs: nowMs + deadlineMs,
      isIdempotent: request.method !== "POST" ||
        (service?.idempotent_posts ?? false),
      isForwarded: false,
    };
  }

  /**
   * Admits a request that another entry host forwarded. It is not forwarded
   * again.
   */
  function admitForwardedRequest(
    request: ForwardedRequest,
  ): Promise<RequestOutcome> {
    const urgency = Urgency.safeParse(request.urgency);
    const headers: Record<string, string> = {};
    for (const { name, value } of request.headers) headers[name] = value;
    const nowMs = dependencies.nowMs();
    return dispatcher.run({
      id: request.requestId,
      service: request.service,
      method: request.method,
      path: request.path,
      headers,
      body: request.body,
      urgency: urgency.success ? urgency.data : "normal",
      arrivedAtMs: nowMs,
      deadlineAtMs: nowMs + request.remainingMs,
      isIdempotent: request.idempotent,
      isForwarded: true,
    });
  }
}
