/**
 * Organisations and their keys: who a call comes from, which jobs it may use,
 * and how old the configuration is that says so.
 *
 * @module
 */

export * from "./authorize_call.ts";
export * from "./configuration_exchange.ts";
export * from "./configuration_refresh.ts";
export * from "./find_organisation.ts";
export * from "./held_configuration.ts";
export * from "./instant.ts";
export * from "./job_access.ts";
export * from "./member_exchange.ts";
export * from "./refusal_log.ts";
