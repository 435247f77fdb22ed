import { z } from "zod";

/** Schema of a pool of hosts. */
export const Pool = z.strictObject({
  /** Whether other pools take hosts and slots from this pool first. */
  spare: z.boolean().default(false),
  /** Smallest number of hosts in the pool. */
  min_hosts: z.int().min(0).max(10_000).default(0),
});

/** Pool of hosts that serve the same services. */
export type Pool = z.infer<typeof Pool>;
