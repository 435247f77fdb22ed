/**
 * Settings of the daemon.
 *
 * @module
 */

import {
  Address,
  describeProblem,
  Name,
  parseSettings,
} from "@lagoonloom/objects";
import type { Either } from "purify-ts";
import { z } from "zod";

const Key = z.string().min(16, "expected at least 16 characters").max(200);

const Milliseconds = z.int().min(1).max(86_400_000);

const Bytes = z.int().min(1_024).max(2 ** 32);

const Bounds = z.strictObject({
  /** Time between the signal to stop and the refusal of new requests. */
  unready_ms: z.int().min(0).max(60_000).default(2_000),
  /** Longest time between the signal to stop and the end of the process. */
  shutdown_ms: Milliseconds.default(30_000),
  /** Longest wait for the outcome of a publication. */
  publish_ms: Milliseconds.default(3_000),
  /** Timeout of a call to the platform, in addition to a wait for records. */
  platform_ms: Milliseconds.default(2_000),
  /** Longest run time of a request on an executor. */
  longest_request_ms: Milliseconds.default(10_000),
  /** Connections that this entry host may open to one executor. */
  executor_connections: z.int().min(1).max(65_535).default(8),
  /** Largest body of a caller's request. */
  body_bytes: Bytes.default(1_048_576),
  /** Time within which the body of a caller's request must arrive. */
  body_ms: Milliseconds.default(5_000),
  /** Memory for answers in transit. */
  transit_bytes: Bytes.default(33_554_432),
  /** Time for which the claims of orders are kept. */
  claim_window_ms: Milliseconds.default(86_400_000),
});

const Party = z.strictObject({ key: Key });

/** Schema of the daemon's settings. */
export const DaemonSettings = z.strictObject({
  daemon: z.strictObject({
    name: Name,
    region: Name,
    data_centre: Name,
  }),
  callers: z.strictObject({ address: Address }),
  operators: z.strictObject({ address: Address }),
  peers: z.strictObject({
    address: Address,
    /** Shared key that authenticates calls between entry hosts. */
    key: Key,
    /** Addresses of peers to call while the members are unknown. */
    seeds: z.array(Address).default([]),
  }),
  /** Additional listener for metrics; the callers' listener has them too. */
  metrics: z.strictObject({ address: Address }).optional(),
  platform: z.strictObject({
    log: Address,
    /** Address of the host list; that of the log by default. */
    hosts: Address.optional(),
  }),
  /** Operators by name. */
  operator: z.record(Name, Party),
  /** Callers by team. */
  caller: z.record(Name, Party).default({}),
  bounds: Bounds.prefault({}),
  events: z.strictObject({
    level: z.enum(["DEBUG", "INFO", "WARN", "ERROR"]).default("INFO"),
  }).prefault({}),
});

/** Settings of the daemon. */
export type DaemonSettings = z.infer<typeof DaemonSettings>;

/**
 * Parses the settings of the daemon from INI text. If they are invalid, returns
 * one line for each problem.
 *
 * @example
 * ```ts
 * const text = readFileSync(file, "utf8");
 * const settings = parseDaemonSettings(text, { file });
 * ```
 */
export function parseDaemonSettings(
  text: string,
  options: { file: string },
): Either<string[], DaemonSettings> {
  return parseSettings(text, DaemonSettings, options)
    .mapLeft((problems) => problems.map(describeProblem));
}
