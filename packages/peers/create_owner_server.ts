/**
 * RPC server of a member that owns partitions of jobs.
 *
 * @module
 */

import type { MessageInitShape } from "@bufbuild/protobuf";
import { connectNodeAdapter } from "@connectrpc/connect-node";
import { createServer, type ServerHttp2Session } from "node:http2";
import type { AddressInfo } from "node:net";
import {
  type ConfigurationRequest,
  type ConfigurationResponseSchema,
  type CountPendingRequest,
  type CountPendingResponseSchema,
  OwnerService,
  type ReachResponseSchema,
  type RelayRequest,
  type RelayResponseSchema,
  type ReportRequest,
  type ReportResponseSchema,
  type ShowRequest,
  type ShowResponseSchema,
} from "./gen/lagoonloom/peers/v1/owners_pb.ts";

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
  { host, port }: { host: string; port: number },
): Promise<OwnerServer> {
  const sessions = new Set<ServerHttp2Session>();
  const server = createServer(connectNodeAdapter({
    grpc: false,
    grpcWeb: false,
    acceptCompression: [],
    routes: (router) => router.service(OwnerService, { ...handlers }),
  }));
  server.on("session", (session) => {
    sessions.add(session);
    session.on("close", () => sessions.delete(session));
    session.on("error", () => session.destroy());
  });
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
        for (const session of sessions) session.destroy();
      }),
  };
}
