/**
 * RPC server of a member that owns partitions of jobs.
 *
 * @module
 */

import type { MessageInitShape } from "@bufbuild/protobuf";
import { connectNodeAdapter } from "@connectrpc/connect-node";
import { createServer } from "node:http2";
import type { AddressInfo } from "node:net";
import {
  type ConfigurationRequest,
  type ConfigurationResponseSchema,
  type CountPendingRequest,
  type CountPendingResponseSchema,
  type LimitRequest,
  type LimitResponseSchema,
  OwnerService,
  type ReachResponseSchema,
  type RelayRequest,
  type RelayResponseSchema,
  type ReportRequest,
  type ReportResponseSchema,
  type ShowRequest,
  type ShowResponseSchema,
} from "./gen/lagoonloom/peers/v1/owners_pb.ts";
import { createSessionGuard, type SessionLimits } from "./session_guard.ts";

/** Largest message of a call, in bytes. */
const MAX_MESSAGE_BYTES = 4 * 1_024 * 1_024;

/** Limits for a server that is given none. */
const DEFAULT_LIMITS: SessionLimits = {
  maxConnections: 1_024,
  maxBytes: 16 * 1_024 * 1_024,
};

/** Where a member serves the calls of others, and the limits on them. */
export type OwnerServerOptions = {
  host: string;
  port: number;
  limits?: SessionLimits;
  /** Called after each call that was answered, with the name of its RPC. */
  onServed?(call: string): void;
};

/** Handlers for the calls of other members. */
export type OwnerHandlers = {
  /** Returns the state of a job. */
  show(
    request: ShowRequest,
  ): Promise<MessageInitShape<typeof ShowResponseSchema>>;
  /** Counts the accepted jobs of a queue that have not started. */
  countPending(
    request: CountPendingRequest,
  ): MessageInitShape<typeof CountPendingResponseSchema>;
  /** Reserves executors for maintenance; returns what runs on them. */
  report(
    request: ReportRequest,
  ): MessageInitShape<typeof ReportResponseSchema>;
  /** Writes a record to the store for a member that cannot reach it. */
  relay(
    request: RelayRequest,
  ): Promise<MessageInitShape<typeof RelayResponseSchema>>;
  /** Sets what tasks of each organisation a partition's owner may run. */
  limit(
    request: LimitRequest,
  ): MessageInitShape<typeof LimitResponseSchema>;
  /** Returns whether this member can reach the store. */
  reach(): MessageInitShape<typeof ReachResponseSchema>;
  /** Returns this member's configuration and how old it is. */
  configuration(
    request: ConfigurationRequest,
  ): MessageInitShape<typeof ConfigurationResponseSchema>;
};

/** Server for the calls of other members. */
export type OwnerServer = {
  /** IP address and port on which the server listens. */
  address: string;
  /** Ends all connections and stops listening. */
  close(): Promise<void>;
};

/**
 * Starts the server for calls to the owner of partitions.
 *
 * @example
 * ```ts
 * const server = await createOwnerServer(handlers, { host, port });
 * ```
 */
export async function createOwnerServer(
  handlers: OwnerHandlers,
  { host, port, limits = DEFAULT_LIMITS, onServed }: OwnerServerOptions,
): Promise<OwnerServer> {
  const guard = createSessionGuard(limits);
  const server = createServer(guard.wrap(connectNodeAdapter({
    grpc: false,
    grpcWeb: false,
    acceptCompression: [],
    readMaxBytes: MAX_MESSAGE_BYTES,
    interceptors: [(next) => async (request) => {
      const response = await next(request);
      onServed?.(request.method.localName);
      return response;
    }],
    routes: (router) => router.service(OwnerService, { ...handlers }),
  })));
  guard.watch(server);
  await new Promise<void>((resolve, reject) => {
    server.once("error", reject);
    server.listen(port, host, resolve);
  });
  const address = server.address() as AddressInfo;
  return {
    address: `${host}:${address.port}`,
    close: () =>
      new Promise((resolve) => {
        server.close(() => resolve());
        guard.close();
      }),
  };
}
