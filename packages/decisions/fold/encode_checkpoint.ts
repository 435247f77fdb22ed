import type { FleetState } from "./fleet_state.ts";
import { countIncoming, indexHost } from "./internal/host_index.ts";
import { countUsage } from "./internal/team_usage.ts";

/** Longest chunk of a checkpoint in characters, below the log's 1 MiB. */
export const CHUNK_LENGTH = 200_000;

/** Fields that are sorted by key, since their order carries no meaning. */
const SORTED_MAPS = [
  "members",
  "endedIncarnations",
  "deciders",
  "hosts",
  "waves",
  "jobs",
  "workers",
] as const;

/**
 * Encodes the state in chunks. Equal states give equal chunks, whatever order
 * their objects were added in.
 *
 * @example
 * ```ts
 * const chunks = encodeCheckpoint(state);
 * ```
 */
export function encodeCheckpoint(state: FleetState): string[] {
  const text = JSON.stringify(state, replaceValue);
  const chunks: string[] = [];
  for (let start = 0; start < text.length; start += CHUNK_LENGTH) {
    chunks.push(text.slice(start, start + CHUNK_LENGTH));
  }
  return chunks;
}

/**
 * Decodes chunks of {@linkcode encodeCheckpoint}, in their order.
 *
 * @throws {SyntaxError} If the chunks are incomplete or of another encoding.
 *
 * @example
 * ```ts
 * const state = decodeCheckpoint(chunks);
 * ```
 */
export function decodeCheckpoint(chunks: readonly string[]): FleetState {
  const fields = JSON.parse(chunks.join(""));
  const state: FleetState = {
    ...fields,
    hostsByPool: new Map(),
    incomingByPool: new Map(),
    usageByTeam: new Map(),
    outcomes: new Map(fields.outcomes),
  };
  for (const field of SORTED_MAPS) {
    Object.assign(state, { [field]: new Map(fields[field]) });
  }
  for (const wave of state.waves.values()) wave.done = new Map(wave.done);
  for (const [name, host] of state.hosts) {
    indexHost(state, name, host.owner);
    if (host.move !== undefined) countIncoming(state, host.move.to, 1);
  }
  for (const job of state.jobs.values()) {
    if (job.state === "running") countUsage(state, job, 1);
  }
  return state;
}

/** Fields that follow from others. */
const DERIVED = ["hostsByPool", "incomingByPool", "usageByTeam"];

function replaceValue(key: string, value: unknown): unknown {
  if (DERIVED.includes(key)) return undefined;
  if (value instanceof Map) {
    const entries = [...value];
    // Outcomes stay in the order of their offsets, in which they are forgotten.
    return key === "outcomes" ? entries : entries.sort(compareKeys);
  }
  if (typeof value !== "object" || value === null || Array.isArray(value)) {
    return value;
  }
  return Object.fromEntries(Object.entries(value).sort(compareKeys));
}

function compareKeys(left: unknown[], right: unknown[]): number {
  return String(left[0]) < String(right[0]) ? -1 : 1;
}
