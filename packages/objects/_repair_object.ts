/**
 * Values that stand in for wrong ones while the rest of a set is checked. Each
 * is the one least likely to cause a further problem: most capacity, least
 * demand. A field that is not listed is left out.
 */
const STAND_INS: Record<string, unknown> = {
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

/** Fields whose stand-ins must differ, by prefix. */
const UNIQUE_STAND_INS: Record<string, string> = {
  address: "0.0.0.0:",
  rack: "invalid-",
  data_centre: "invalid-",
  region: "invalid-",
};

/** Returns an object without its wrong fields, with stand-ins for them. */
export function repairObject(
  object: Record<string, unknown>,
  wrong: Set<string>,
  { serial }: { serial: number },
) {
  const fields = Object.entries(object).filter(([name]) => !wrong.has(name));
  for (const name of wrong) {
    const prefix = UNIQUE_STAND_INS[name];
    const value = prefix === undefined ? STAND_INS[name] : prefix + serial;
    if (value !== undefined) fields.push([name, value]);
  }
  return Object.fromEntries(fields);
}
