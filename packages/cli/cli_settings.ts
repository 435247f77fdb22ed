import { Address } from "@lagoonloom/objects";
import { z } from "zod";

/** Schema of the settings of the command line. */
export const CliSettings = z.strictObject({
  operator: z.strictObject({
    /** Name that is recorded with each publication. */
    name: z.string().min(1).max(100),
    key: z.string().regex(/^\S+$/, "expected a key without spaces"),
  }),
  daemons: z.strictObject({
    /** Addresses of the daemons' operators listeners. */
    addresses: z.array(Address).min(1),
  }),
  requests: z.strictObject({
    /** Longest time for a request to a daemon. */
    timeout_ms: z.int().min(1).max(600_000).default(5_000),
    /** Most times that a publication is sent, always with the same id. */
    publish_attempts: z.int().min(1).max(100).default(4),
    /** Time before a publication is sent again. */
    retry_delay_ms: z.int().min(0).max(60_000).default(500),
  }).prefault({}),
});

/** Settings of the command line. */
export type CliSettings = z.infer<typeof CliSettings>;
