import { randomBytes } from "node:crypto";

/**
 * Creates an identifier that distinguishes this process from earlier ones of
 * the same name. It begins with the current time, so that operators can tell
 * which of two is newer.
 *
 * @example
 * ```ts
 * const incarnation = createIncarnation();
 * ```
 */
export function createIncarnation(): string {
  return `${Date.now().toString(36)}-${randomBytes(6).toString("hex")}`;
}
