import { createHash, timingSafeEqual } from "node:crypto";

/**
 * Returns a function that finds the operator to whom the bearer token in an
 * `Authorization` header belongs. So that its duration reveals nothing about
 * the keys, it compares the hash of the token with that of every key in
 * constant time; hashes have the equal lengths that this needs.
 */
export function createOperatorLookup(
  keysByOperator: ReadonlyMap<string, string>,
) {
  const hashes = [...keysByOperator].map(([name, key]) => ({
    name,
    key: hash(key),
  }));
  return (header: string | undefined): string | undefined => {
    const key = /^Bearer +(\S+)$/i.exec(header ?? "")?.[1];
    if (key === undefined) return undefined;
    const actual = hash(key);
    const matches = hashes.filter((expected) =>
      timingSafeEqual(expected.key, actual)
    );
    return matches[0]?.name;
  };
}

function hash(key: string) {
  return createHash("sha256").update(key).digest();
}
