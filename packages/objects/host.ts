import { z } from "zod";
import { Address } from "./address.ts";
import { Name } from "./name.ts";

/** Slots of an executor unless the set says otherwise. */
export const DEFAULT_SLOTS = 8;

/** Connections that an executor accepts unless the set says otherwise. */
export const DEFAULT_CONNECTIONS = 64;

/** Schema of a host: one executor and one worker. */
export const Host = z.strictObject({
  /** Pool that owns the host when it first appears; later changes move it. */
  pool: Name,
  region: Name,
  data_centre: Name,
  rack: Name,
  /** IP address and port of the executor. */
  address: Address,
  /** IP address and port of the worker's agent; absent without one. */
  worker_address: Address.optional(),
  slots: z.int().min(1).max(1_024).default(DEFAULT_SLOTS),
  connections: z.int().min(1).max(65_535).default(DEFAULT_CONNECTIONS),
  cores: z.number().positive().max(1_024),
  memory_gb: z.number().positive().max(65_536),
  accelerators: z.int().min(0).max(64).default(0),
  /** An operator marks a host as leaving to have it drained. */
  state: z.enum(["in-service", "leaving"]).default("in-service"),
});

/** Host with one executor and one worker. */
export type Host = z.infer<typeof Host>;
