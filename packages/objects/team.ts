import { z } from "zod";

/** Schema of a team. */
export const Team = z.strictObject({
  quota_cores: z.number().min(0).max(10_000_000),
  quota_memory_gb: z.number().min(0).max(100_000_000),
  quota_accelerators: z.int().min(0).max(1_000_000).default(0),
});

/** Team with a quota on the workers of the fleet. */
export type Team = z.infer<typeof Team>;
