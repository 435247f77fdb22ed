/**
 * Status of a daemon, as operators read it.
 *
 * @module
 */

import { Name } from "@lagoonloom/objects";
import { z } from "zod";
import { LeavingHost } from "./publication.ts";

/** Schema of a permit for a host to be out of service, not returned yet. */
export const OpenPermit = z.object({
  host: Name,
  purpose: z.enum(["drain", "reboot", "move"]),
  wave: Name.optional(),
  reason: z.string(),
  /** Time in the log at which it was granted, in Unix milliseconds. */
  grantedAtMs: z.number(),
});

/** Schema of what a daemon knows about an entry host. */
export const KnownMember = z.object({
  name: Name,
  dataCentre: Name,
  /** Version of the object set in force there; absent if it never responded. */
  version: z.int().min(0).optional(),
  offset: z.int().min(0).optional(),
  /** Time since it last responded, in milliseconds. */
  heardMsAgo: z.number().min(0).optional(),
});

/** Schema of the status of a daemon. */
export const DaemonStatus = z.object({
  daemon: Name,
  dataCentre: Name,
  ready: z.boolean(),
  /** Version of the object set in force on this daemon. */
  version: z.int().min(0),
  /** Offset of the next log record that the daemon will apply. */
  offset: z.int().min(0),
  /** Time since the daemon last read the log, in milliseconds. */
  logAgeMs: z.number().min(0).optional(),
  /** Hosts that are being taken out of service. */
  leaving: z.array(LeavingHost).optional(),
  permits: z.array(OpenPermit).optional(),
  /** Entry hosts that are members, this one included. */
  members: z.array(KnownMember).optional(),
});

/** Status of a daemon. */
export type DaemonStatus = z.infer<typeof DaemonStatus>;
