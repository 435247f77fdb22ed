import { Address } from "@lagoonloom/objects";
import { z } from "zod";

/** Schema of the settings of the command line. */
export const CliSettings = z.strictObject({
  operator: z.strictObject({
    /** Name that the log records with each publication. */
    name: z.string().min(1).max(100),
    /** Key that the daemons accept for this operator. */
    key: z.string().regex(/^\S+$/, "expected a key without spaces"),
  }),
  daemons: z.strictObject({
    /** Addresses of the daemons' APIs for operators. */
    addresses: z.array(Address).min(1),
  }),
  requests: z.strictObject({
    /** Timeout of a request to a daemon. */
    timeout_ms: z.int().min(1).max(600_000).default(5_000),
    /** Most attempts to send a request, all with the same id. */
    publish_attempts: z.int().min(1).max(100).default(4),
    /** Time before a request is sent again. */
    retry_delay_ms: z.int().min(0).max(60_000).default(500),
  }).prefault({}),
});

/** Settings of the command line. */
export type CliSettings = z.infer<typeof CliSettings>;
