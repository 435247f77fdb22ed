import type { MessageInitShape } from "@bufbuild/protobuf";
import { connectNodeAdapter } from "@connectrpc/connect-node";
import { createServer, type ServerHttp2Session } from "node:http2";
import type { AddressInfo } from "node:net";
import {
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

/** What a member does for the calls of other ones. */
export type OwnerHandlers = {
  show(
    request: ShowRequest,
  ): Promise<MessageInitShape<typeof ShowResponseSchema>>;
  countPending(
    request: CountPendingRequest,
  ): MessageInitShape<typeof CountPendingResponseSchema>;
  report(
    request: ReportRequest,
  ): MessageInitShape<typeof ReportResponseSchema>;
  relay(
    request: RelayRequest,
  ): Promise<MessageInitShape<typeof RelayResponseSchema>>;
  reach(): MessageInitShape<typeof ReachResponseSchema>;
};

/** Listener for the calls of other members. */
export type OwnerServer = { address: string; close(): Promise<void> };

/**
 * Starts the listener for the calls to owners of partitions.
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
