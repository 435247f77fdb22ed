/**
 * HTTP API of the daemons for operators: server, client and schemas.
 *
 * @module
 */

export * from "./daemon_status.ts";
export * from "./explanation.ts";
export * from "./job_request.ts";
export * from "./operator_app.ts";
export * from "./operator_client.ts";
export * from "./operator_handlers.ts";
export * from "./operator_server.ts";
export * from "./publication.ts";
export * from "./refusal.ts";
