import type { CallerRequest } from "@lagoonloom/callers";
import { Urgency } from "@lagoonloom/decisions";
import type { Service } from "@lagoonloom/objects";
import type { Dispatcher } from "./_dispatcher.ts";
import { notRun, type Order, type OrderOutcome } from "./_order.ts";
import { digestKey } from "./_order_digests.ts";
import type { OrderKeeper } from "./_order_keeper.ts";
import type { RequestPathDependencies } from "./dependencies.ts";
import type { ForwardedRequest } from "./forwarded.ts";

/** Deadline of a repeated order whose service is no longer in the set. */
const REPEAT_DEADLINE_MS = 2_000;

/** Creates the part that turns requests into orders. */
export function createIntake(
  dependencies: RequestPathDependencies,
  parts: { dispatcher: Dispatcher; keeper: OrderKeeper },
) {
  const { settings } = dependencies;
  const { dispatcher, keeper } = parts;
  let lastId = 0;
  let areOrdersRefused = false;
  return { takeCaller, takeForwarded };

  /** Takes a request of a caller. */
  function takeCaller(
    request: CallerRequest,
    options: { isStopping: boolean },
  ): Promise<OrderOutcome> {
    const service = dependencies.findService(request.service);
    const order = makeOrder(request, service);
    const refuseNew = whyNotTaken(order, service, options);
    const { idempotencyKey, signal: gone, caller } = request;
    if (order.isIdempotent) {
      if (refuseNew !== undefined) return Promise.resolve(notRun(refuseNew));
      gone.addEventListener("abort", () => dispatcher.cancel(order.id));
      return dispatcher.run(order);
    }
    if (idempotencyKey === undefined) {
      const reason = service === undefined ? "unknown-service" : "key-required";
      return Promise.resolve(notRun(reason));
    }
    const key = digestKey(caller, idempotencyKey);
    return keeper.run({ order, key, refuseNew, gone });
  }

  function whyNotTaken(
    order: Order,
    service: Service | undefined,
    options: { isStopping: boolean },
  ): string | undefined {
    if (service === undefined) return "unknown-service";
    if (options.isStopping) return "stopping";
    if (order.isIdempotent) return undefined;
    const isFresh = dependencies.logIsFresh();
    if (isFresh === areOrdersRefused) {
      areOrdersRefused = !isFresh;
      if (isFresh) dependencies.events.log("ordersAccepted", {});
      else {
        const reason = "The folded claims are not recent enough.";
        dependencies.events.log("ordersRefused", { reason });
      }
    }
    return isFresh ? undefined : "log-unavailable";
  }

  function makeOrder(
    request: CallerRequest,
    service: Service | undefined,
  ): Order {
    const nowMs = dependencies.nowMs();
    const deadlineMs = request.deadlineMs ?? service?.deadline_ms ??
      REPEAT_DEADLINE_MS;
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

  /** Takes a request of another entry host, which is not forwarded again. */
  function takeForwarded(request: ForwardedRequest): Promise<OrderOutcome> {
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
