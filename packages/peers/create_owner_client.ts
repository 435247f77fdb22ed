/**
 * RPC client for the members that own partitions of jobs.
 *
 * @module
 */

import type { MessageInitShape } from "@bufbuild/protobuf";
import { createClient } from "@connectrpc/connect";
import {
  createConnectTransport,
  Http2SessionManager,
} from "@connectrpc/connect-node";
import {
  type ConfigurationRequestSchema,
  type ConfigurationResponse,
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

/** Time without traffic after which a connection is checked with a ping. */
const PING_INTERVAL_MS = 1_000;

/** Time in which the other member has to answer a ping. */
const PING_TIMEOUT_MS = 700;

/** Client of one member; calls resolve with undefined if they fail. */
export type OwnerClient = {
  /** Returns the state of a job. */
  show(
    request: MessageInitShape<typeof ShowRequestSchema>,
    timeoutMs: number,
  ): Promise<ShowResponse | undefined>;
  /** Returns the number of accepted jobs of a queue that have not started. */
  countPending(
    request: MessageInitShape<typeof CountPendingRequestSchema>,
    timeoutMs: number,
  ): Promise<CountPendingResponse | undefined>;
  /** Reserves executors for maintenance; returns what runs on them. */
  report(
    request: MessageInitShape<typeof ReportRequestSchema>,
    timeoutMs: number,
  ): Promise<ReportResponse | undefined>;
  /** Asks the member to write a record to the store for this one. */
  relay(
    request: MessageInitShape<typeof RelayRequestSchema>,
    timeoutMs: number,
  ): Promise<RelayResponse | undefined>;
  /** Returns whether the member can reach the store. */
  reach(timeoutMs: number): Promise<ReachResponse | undefined>;
  /** Returns the member's configuration and how old it is. */
  configuration(
    request: MessageInitShape<typeof ConfigurationRequestSchema>,
    timeoutMs: number,
  ): Promise<ConfigurationResponse | undefined>;
  /** Ends the connection; calls in progress fail. */
  close(): void;
};

/**
 * Creates a client of another member. Pings detect a broken connection, which
 * otherwise might never be reported as closed. Failed calls are passed to
 * `onFailure`.
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
  const undefinedOnFailure = async <Response>(
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
    show: (request, timeoutMs) =>
      undefinedOnFailure(client.show(request, { timeoutMs })),
    countPending: (request, timeoutMs) =>
      undefinedOnFailure(client.countPending(request, { timeoutMs })),
    report: (request, timeoutMs) =>
      undefinedOnFailure(client.report(request, { timeoutMs })),
    relay: (request, timeoutMs) =>
      undefinedOnFailure(client.relay(request, { timeoutMs })),
    reach: (timeoutMs) => undefinedOnFailure(client.reach({}, { timeoutMs })),
    configuration: (request, timeoutMs) =>
      undefinedOnFailure(client.configuration(request, { timeoutMs })),
    close: () => sessionManager.abort(),
  };
}
