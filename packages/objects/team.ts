import { z } from "zod";

/** Schema of a team, with its quota of each resource. */
export const Team = z.strictObject({
  quota_cores: z.number().min(0).max(10_000_000),
  quota_memory_gb: z.number().min(0).max(100_000_000),
  quota_accelerators: z.int().min(0).max(1_000_000).default(0),
});

/** Team, with its quota for jobs on the workers of the fleet. */
export type Team = z.infer<typeof Team>;
