import { createHash } from "node:crypto";

/** Bytes of a digest, which are 22 characters in base64url. */
const DIGEST_BYTES = 16;

/** Digest of the caller and its idempotency key. */
export function digestKey(caller: string, key: string): string {
  return digest([caller, key]);
}

/** Digest of what an idempotency key stands for. */
export function digestRequest(
  request: { method: string; path: string; body: Uint8Array },
): string {
  return digest([request.method, request.path, request.body]);
}

function digest(parts: readonly (string | Uint8Array)[]): string {
  const hash = createHash("sha256");
  for (const part of parts) {
    // The length keeps parts apart that run together otherwise.
    hash.update(`${part.length}:`).update(part);
  }
  return hash.digest().subarray(0, DIGEST_BYTES).toString("base64url");
}
