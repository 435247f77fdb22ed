import { createHash, timingSafeEqual } from "node:crypto";

/**
 * Returns a function that finds the operator whose key a header carries. It
 * compares hashes, which have equal lengths, with every key in constant time.
 */
export function createKeyCheck(operators: ReadonlyMap<string, string>) {
  const hashes = [...operators].map(([name, key]) => ({
    name,
    key: hash(key),
  }));
  return (header: string | undefined): string | undefined => {
    const key = /^Bearer +(\S+)$/i.exec(header ?? "")?.[1];
    if (key === undefined) return undefined;
    const found = hash(key);
    const matches = hashes.filter((expected) =>
      timingSafeEqual(expected.key, found)
    );
    return matches[0]?.name;
  };
}

function hash(key: string) {
  return createHash("sha256").update(key).digest();
}
