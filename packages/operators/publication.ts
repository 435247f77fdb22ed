/**
 * Publications: changes of the object set that operators submit.
 *
 * @module
 */

import { Name, OBJECT_KINDS, ObjectSet, SetChange } from "@lagoonloom/objects";
import { z } from "zod";

/** Schema of a publication's id, which its sender repeats in every retry. */
export const PublicationId = z.string().regex(
  /^[A-Za-z0-9_-]{1,64}$/,
  "expected up to 64 letters, digits, hyphens and underscores",
);

/** Schema of a change that an operator submits: body of `POST /v1/changes`. */
export const Publication = z.strictObject({
  publicationId: PublicationId,
  /** Version of the object set to which the change applies. */
  expectedVersion: z.int().min(0),
  change: SetChange,
  operator: z.string().min(1).max(100),
});

/** Change that an operator submits. */
export type Publication = z.infer<typeof Publication>;

/** Schema of a publication that took effect. */
export const HistoryEntry = z.object({
  version: z.int().min(0),
  publicationId: z.string(),
  offset: z.int().min(0),
  /** Time in the log in Unix milliseconds. */
  timeMs: z.number(),
  operator: z.string(),
  /** New and changed objects, as `kind/name`. */
  put: z.array(z.string()),
  removed: z.array(z.string()),
});

/** Publication that took effect. */
export type HistoryEntry = z.infer<typeof HistoryEntry>;

/** Schema of one problem of an object set that a daemon refused. */
export const SetProblem = z.object({
  kind: z.enum(OBJECT_KINDS),
  name: z.string(),
  field: z.string().optional(),
  message: z.string(),
});

/** Schema of the outcome of a publication. */
export const PublicationOutcome = z.discriminatedUnion("type", [
  z.object({
    type: z.literal("accepted"),
    offset: z.int().min(0),
    version: z.int().min(0),
  }),
  z.object({
    type: z.literal("refused"),
    /** `unavailable`: the log could not be reached, so nothing was appended. */
    cause: z.enum(["conflict", "invalid", "unavailable"]),
    reason: z.string(),
    problems: z.array(SetProblem).optional(),
    currentVersion: z.int().min(0).optional(),
    /**
     * In a conflict, the publications that took effect after the expected
     * version, oldest first.
     */
    winners: z.array(HistoryEntry).optional(),
  }),
  /** The log's response was lost, or the id was not found in the log so far. */
  z.object({ type: z.literal("unknown"), publicationId: z.string() }),
]);

/** Outcome of a publication. */
export type PublicationOutcome = z.infer<typeof PublicationOutcome>;

/** Schema of an object set with its version. */
export const VersionedSet = z.object({
  version: z.int().min(0),
  set: ObjectSet,
});

/** Object set with its version. */
export type VersionedSet = z.infer<typeof VersionedSet>;

/** Schema of a host that is being taken out of service. */
export const LeavingHost = z.object({
  host: Name,
  pool: Name,
  reason: z.string(),
});
