import { Name } from "@lagoonloom/objects";
import { z } from "zod";
import { LeavingHost } from "./publication.ts";

/** Schema of an open permit for a host to be out of service. */
export const OpenPermit = z.object({
  host: Name,
  purpose: z.enum(["drain", "reboot", "move"]),
  wave: Name.optional(),
  reason: z.string(),
  /** Log time in milliseconds. */
  grantedAtMs: z.number(),
});

/** Schema of an entry host as another one last heard of it. */
export const KnownMember = z.object({
  name: Name,
  dataCentre: Name,
  /** Version of the set in force there; absent if it was never heard. */
  version: z.int().min(0).optional(),
  offset: z.int().min(0).optional(),
  /** Time since it last answered, in milliseconds. */
  heardMsAgo: z.number().min(0).optional(),
});

/** Schema of the state of one daemon. */
export const DaemonStatus = z.object({
  daemon: Name,
  dataCentre: Name,
  ready: z.boolean(),
  /** Version of the set in force on this daemon. */
  version: z.int().min(0),
  /** Next offset of the log that the daemon folds. */
  offset: z.int().min(0),
  /** Time since the daemon last heard of the log, in milliseconds. */
  logAgeMs: z.number().min(0).optional(),
  leaving: z.array(LeavingHost).optional(),
  permits: z.array(OpenPermit).optional(),
  /** Entry hosts that take part, this one included. */
  members: z.array(KnownMember).optional(),
});

/** State of one daemon. */
export type DaemonStatus = z.infer<typeof DaemonStatus>;
