/**
 * RPC clients and servers for calls between entry hosts.
 *
 * @module
 */

export * from "./call_times.ts";
export * from "./create_owner_client.ts";
export * from "./create_owner_server.ts";
export * from "./session_guard.ts";
export * from "./create_peer_client.ts";
export * from "./create_peer_server.ts";
export * from "./gen/lagoonloom/peers/v1/owners_pb.ts";
export * from "./gen/lagoonloom/peers/v1/peers_pb.ts";
export * from "./peer_handlers.ts";
