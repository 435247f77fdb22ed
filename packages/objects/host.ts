/**
 * Hosts, which run the work of services and teams.
 *
 * @module
 */

import { z } from "zod";
import { Address } from "./address.ts";
import { Name } from "./name.ts";

/** Default number of requests that an executor runs at the same time. */
export const DEFAULT_SLOTS = 8;

/** Default number of connections that an executor accepts. */
export const DEFAULT_CONNECTIONS = 64;

/** Schema of a host, which has one executor and one worker. */
export const Host = z.strictObject({
  /** Pool that the host joins first; a later change requests a move there. */
  pool: Name,
  region: Name,
  data_centre: Name,
  rack: Name,
  /** IP address and port of the executor. */
  address: Address,
  /** IP address and port of the worker; absent if the host has none. */
  worker_address: Address.optional(),
  /** Requests that the executor runs at the same time. */
  slots: z.int().min(1).max(1_024).default(DEFAULT_SLOTS),
  /** Connections that the executor accepts. */
  connections: z.int().min(1).max(65_535).default(DEFAULT_CONNECTIONS),
  cores: z.number().positive().max(1_024),
  memory_gb: z.number().positive().max(65_536),
  accelerators: z.int().min(0).max(64).default(0),
  /** An operator sets `leaving` to have the host drained. */
  state: z.enum(["in-service", "leaving"]).default("in-service"),
});

/** Host with one executor and one worker. */
export type Host = z.infer<typeof Host>;
