import { createHash, timingSafeEqual } from "node:crypto";

/**
 * Returns a function that tells whether a header carries one of the keys. It
 * compares hashes, which have equal lengths, with every key in constant time.
 */
export function createKeyCheck(keys: readonly string[]) {
  const hashes = keys.map(hash);
  return (header: string | undefined) => {
    const key = /^Bearer +(\S+)$/i.exec(header ?? "")?.[1];
    if (key === undefined) return false;
    const found = hash(key);
    const matches = hashes.map((expected) => timingSafeEqual(expected, found));
    return matches.includes(true);
  };
}

function hash(key: string) {
  return createHash("sha256").update(key).digest();
}
