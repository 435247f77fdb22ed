/**
 * Digests that identify orders and detect reused idempotency keys.
 *
 * @module
 */

import { createHash } from "node:crypto";

/** Length of a digest; base64url needs 22 characters for it. */
const DIGEST_BYTES = 16;

/** Returns a digest of the caller and its idempotency key. */
export function digestKey(caller: string, key: string): string {
  return digest([caller, key]);
}

/**
 * Returns a digest of a request's content, which reveals that an idempotency
 * key was reused for another request.
 */
export function digestRequest(
  request: { method: string; path: string; body: Uint8Array },
): string {
  return digest([request.method, request.path, request.body]);
}

function digest(parts: readonly (string | Uint8Array)[]): string {
  const hash = createHash("sha256");
  for (const part of parts) {
    // The length prefix keeps ["ab", "c"] and ["a", "bc"] distinct.
    hash.update(`${part.length}:`).update(part);
  }
  return hash.digest().subarray(0, DIGEST_BYTES).toString("base64url");
}
