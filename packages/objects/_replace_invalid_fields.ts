/**
 * Placeholders for invalid fields, so that the rest of a set can be checked.
 *
 * @module
 */

/**
 * Placeholder of each field. It is the value that is least likely to cause a
 * further problem: the most capacity or the least demand. A field that is not
 * listed is left out.
 */
const PLACEHOLDERS: Record<string, unknown> = {
  share_percent: 1e-6,
  run_time_ms: 1,
  min_available: 0,
  min_available_percent: 0,
  outage_s: 1e-3,
  finish_within_h: 8_760,
  quota_cores: 0,
  quota_memory_gb: 0,
  cores: 1_024,
  memory_gb: 65_536,
  accelerators: 64,
};

/** Prefixes of the placeholders of fields that must have distinct values. */
const UNIQUE_PLACEHOLDER_PREFIXES: Record<string, string> = {
  address: "0.0.0.0:",
  rack: "invalid-",
  data_centre: "invalid-",
  region: "invalid-",
};

/** Returns an object with placeholders for its invalid fields. */
export function replaceInvalidFields(
  object: Record<string, unknown>,
  invalid: Set<string>,
  { serial }: { serial: number },
) {
  const fields = Object.entries(object).filter(([name]) => !invalid.has(name));
  for (const name of invalid) {
    const prefix = UNIQUE_PLACEHOLDER_PREFIXES[name];
    const value = prefix === undefined ? PLACEHOLDERS[name] : prefix + serial;
    if (value !== undefined) fields.push([name, value]);
  }
  return Object.fromEntries(fields);
}
