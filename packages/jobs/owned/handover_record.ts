/**
 * Record that an owner stores when it gives up a partition.
 *
 * @module
 */

import { z } from "zod";
import { TaskStart } from "../ended/suspicion.ts";

/** Schema of a run that goes on when its owner gives up the partition. */
const HandoverRun = z.object({
  task: z.string(),
  run: z.number(),
  executor: z.string(),
  /** Longest time in milliseconds until the executor's lease expires. */
  leaseMs: z.number(),
});

/** Run that goes on when its owner gives up the partition. */
export type HandoverRun = z.infer<typeof HandoverRun>;

/** Schema of a handover. Durations count from the time it was stored. */
const Handover = z.object({
  runs: z.array(HandoverRun),
  /** Executors that may have runs which the owner does not know of. */
  unheard: z.array(z.string()),
  /** Longest time in milliseconds for which such runs may go on. */
  blockedMs: z.number(),
  /** Starts that may have crashed their executors. */
  suspectStarts: z.array(TaskStart).optional(),
});

/** Runs that may go on after an owner has given up the partition. */
export type Handover = z.infer<typeof Handover>;

/** Decodes a stored handover; returns undefined if there is none. */
export function decodeHandover(document: unknown): Handover | undefined {
  const parsed = Handover.safeParse(document);
  return parsed.success ? parsed.data : undefined;
}
