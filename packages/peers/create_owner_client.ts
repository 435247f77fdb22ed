import type { MessageInitShape } from "@bufbuild/protobuf";
import { createClient } from "@connectrpc/connect";
import {
  createConnectTransport,
  Http2SessionManager,
} from "@connectrpc/connect-node";
import {
  type CountPendingRequestSchema,
  type CountPendingResponse,
  OwnerService,
  type ReachResponse,
  type RelayRequestSchema,
  type RelayResponse,
  type ReportRequestSchema,
  type ReportResponse,
  type ShowRequestSchema,
  type ShowResponse,
} from "./gen/lagoonloom/peers/v1/owners_pb.ts";

/** Time without traffic after which a connection is checked. */
const PING_INTERVAL_MS = 1_000;

/** Time in which the other side has to answer a check. */
const PING_TIMEOUT_MS = 700;

/** Client of the owners of partitions; undefined stands for no answer. */
export type OwnerClient = {
  show(
    request: MessageInitShape<typeof ShowRequestSchema>,
    timeoutMs: number,
  ): Promise<ShowResponse | undefined>;
  countPending(
    request: MessageInitShape<typeof CountPendingRequestSchema>,
    timeoutMs: number,
  ): Promise<CountPendingResponse | undefined>;
  report(
    request: MessageInitShape<typeof ReportRequestSchema>,
    timeoutMs: number,
  ): Promise<ReportResponse | undefined>;
  relay(
    request: MessageInitShape<typeof RelayRequestSchema>,
    timeoutMs: number,
  ): Promise<RelayResponse | undefined>;
  reach(timeoutMs: number): Promise<ReachResponse | undefined>;
  close(): void;
};

/**
 * Creates a client of another member. A connection that goes silent is noticed
 * by pings, since it may never be reset.
 *
 * @example
 * ```ts
 * const owner = createOwnerClient("127.0.0.1:7060", { onFailure });
 * const answer = await owner.show({ partition: 3, job: id }, 500);
 * ```
 */
export function createOwnerClient(
  address: string,
  { onFailure }: { onFailure(reason: string): void },
): OwnerClient {
  const baseUrl = `http://${address}`;
  const sessionManager = new Http2SessionManager(baseUrl, {
    pingIntervalMs: PING_INTERVAL_MS,
    pingTimeoutMs: PING_TIMEOUT_MS,
    idleConnectionTimeoutMs: 60_000,
  });
  const client = createClient(
    OwnerService,
    createConnectTransport({
      baseUrl,
      httpVersion: "2",
      sessionManager,
      acceptCompression: [],
    }),
  );
  const settle = async <Response>(
    call: Promise<Response>,
  ): Promise<Response | undefined> => {
    try {
      return await call;
    } catch (error) {
      onFailure(error instanceof Error ? error.message : String(error));
      return undefined;
    }
  };
  return {
    show: (request, timeoutMs) => settle(client.show(request, { timeoutMs })),
    countPending: (request, timeoutMs) =>
      settle(client.countPending(request, { timeoutMs })),
    report: (request, timeoutMs) =>
      settle(client.report(request, { timeoutMs })),
    relay: (request, timeoutMs) => settle(client.relay(request, { timeoutMs })),
    reach: (timeoutMs) => settle(client.reach({}, { timeoutMs })),
    close: () => sessionManager.abort(),
  };
}
