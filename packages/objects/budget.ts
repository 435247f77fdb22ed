import { z } from "zod";
import { Name } from "./name.ts";

/** Schema of a disruption budget. */
export const Budget = z.strictObject({
  /** Service that the budget protects. */
  service: Name,
  /** Fewest executors of the service's home pool that stay in service. */
  min_available: z.int().min(0).max(10_000).optional(),
  /** Smallest share of them that stays in service, in percent. */
  min_available_percent: z.number().min(0).max(100).optional(),
  /** Most executors of one rack that may be out at once for planned work. */
  max_out_per_rack: z.int().min(1).max(10_000).optional(),
  /** Most executors of a data centre that may be out at once for it. */
  max_out_per_data_centre: z.int().min(1).max(10_000).optional(),
});

/** Capacity that a service keeps during drains, reboots and moves. */
export type Budget = z.infer<typeof Budget>;
