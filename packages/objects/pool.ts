import { z } from "zod";

/** Schema of a pool of hosts. */
export const Pool = z.strictObject({
  /** Whether other pools draw hosts from this one before they grow. */
  spare: z.boolean().default(false),
  /** Fewest hosts that may belong to the pool. */
  min_hosts: z.int().min(0).max(10_000).default(0),
});

/** Pool of hosts that serve the same services. */
export type Pool = z.infer<typeof Pool>;
