/**
 * Names of objects.
 *
 * @module
 */

import { z } from "zod";

/** Longest accepted object name in characters. */
export const MAX_NAME_LENGTH = 63;

/**
 * Schema of an object's name: lower-case letters, digits and hyphens.
 *
 * @example
 * ```ts
 * Name.parse("kigali-desk");
 * ```
 */
export const Name = z.string()
  .regex(
    /^[a-z0-9]([a-z0-9-]*[a-z0-9])?$/,
    "expected lower-case letters, digits and hyphens",
  )
  .max(MAX_NAME_LENGTH);

/** Name of an object, unique within its kind. */
export type Name = z.infer<typeof Name>;
