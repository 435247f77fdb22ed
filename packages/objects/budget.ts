import { z } from "zod";
import { Name } from "./name.ts";

/** Schema of an availability budget. */
export const Budget = z.strictObject({
  service: Name,
  /** Fewest executors of the service's home pool in service. */
  min_available: z.int().min(0).max(10_000).optional(),
  /** Smallest share of the home pool's executors in service, in percent. */
  min_available_percent: z.number().min(0).max(100).optional(),
  /** Most executors of one rack out at once by plan. */
  max_out_per_rack: z.int().min(1).max(10_000).optional(),
  /** Most executors of one data centre out at once by plan. */
  max_out_per_data_centre: z.int().min(1).max(10_000).optional(),
});

/** Capacity that a service keeps through drains, reboots and moves. */
export type Budget = z.infer<typeof Budget>;
