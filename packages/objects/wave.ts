import { z } from "zod";
import { Name } from "./name.ts";

/** Schema of a maintenance wave. */
export const Wave = z.strictObject({
  /** Pools whose hosts the wave maintains. */
  pools: z.array(Name).min(1),
  priority: z.enum(["routine", "urgent"]).default("routine"),
  /** Expected time for which a host is out of service, in seconds. */
  outage_s: z.number().positive().max(86_400),
  /** Time within which the wave has to finish, in hours. */
  finish_within_h: z.number().positive().max(24 * 365).default(24 * 21),
  /** Operators start the wave with `active` and stop it with `paused`. */
  state: z.enum(["planned", "active", "paused"]).default("planned"),
});

/** Maintenance of every host of some pools, once, in batches. */
export type Wave = z.infer<typeof Wave>;
