/**
 * Records of the stream `claims`, by which entry hosts claim idempotency keys.
 *
 * @module
 */

import { Name } from "@lagoonloom/objects";
import { z } from "zod";

/** 128-bit digest in base64url. */
const Digest = z.string().regex(/^[A-Za-z0-9_-]{22}$/);

/** Schema of one entry of a batch on the stream `claims`. */
export const ClaimEntry = z.discriminatedUnion("type", [
  z.strictObject({
    type: z.literal("claimed"),
    /** Digest of the caller and the idempotency key. */
    key: Digest,
    /** Digest of the request's method, path and body. */
    request: Digest,
  }),
  z.strictObject({
    /** The request has certainly not run, so its key may be claimed again. */
    type: z.literal("released"),
    key: Digest,
  }),
  z.strictObject({
    type: z.literal("completed"),
    key: Digest,
    /** Offset of the answer in the stream `answers`; absent if not stored. */
    answerOffset: z.int().min(0).optional(),
  }),
]);

/** One entry of a batch on the stream `claims`. */
export type ClaimEntry = z.infer<typeof ClaimEntry>;

/** Schema of a record of the stream `claims`. */
export const ClaimRecord = z.strictObject({
  /** Name of the entry host. */
  holder: Name,
  incarnation: z.string().max(64),
  entries: z.array(ClaimEntry).min(1),
});

/** Batch of claims, completions and releases of one entry host. */
export type ClaimRecord = z.infer<typeof ClaimRecord>;
