/**
 * Parses the value of a record, which is `null` if the record has none. Returns
 * undefined if the value is malformed.
 */
export function parseJson(value: string | undefined): unknown {
  try {
    return JSON.parse(value ?? "null");
  } catch {
    return undefined;
  }
}
