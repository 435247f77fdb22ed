/**
 * Encodes the state of the fleet as the chunks of a checkpoint, and decodes
 * them.
 *
 * @module
 */

import type { FleetState } from "./fleet_state.ts";
import { addIncoming, indexHost } from "./internal/host_index.ts";
import { addUsage } from "./internal/team_usage.ts";

/**
 * Longest chunk of a checkpoint in characters. The log accepts records of up to
 * 1 MiB.
 */
export const MAX_CHUNK_LENGTH = 200_000;

/** Maps that are encoded in the order of their keys, not of their insertion. */
const SORTED_MAP_FIELDS = [
  "members",
  "endedIncarnations",
  "deciders",
  "hosts",
  "waves",
  "jobs",
  "workers",
] as const;

/** Entries that are encoded in one slice, which takes about 1 ms. */
const ENTRIES_PER_SLICE = 128;

/**
 * Encodes the state as the chunks of a checkpoint. Equal states have equal
 * chunks, regardless of the order in which their objects were added.
 *
 * @example
 * ```ts
 * const chunks = encodeCheckpoint(state);
 * ```
 */
export function encodeCheckpoint(state: FleetState): string[] {
  const slices = encodeCheckpointSlices(state);
  for (;;) {
    const slice = slices.next();
    if (slice.done === true) return slice.value;
  }
}

/**
 * Encodes the state like {@linkcode encodeCheckpoint}, but yields after each
 * slice of about 1 ms, so that the caller can let other work run. The result is
 * valid only if no record was folded into the state before the last slice.
 *
 * @example
 * ```ts
 * const slices = encodeCheckpointSlices(state);
 * let slice = slices.next();
 * while (slice.done !== true) slice = slices.next();
 * const chunks = slice.value;
 * ```
 */
export function* encodeCheckpointSlices(
  state: FleetState,
): Generator<undefined, string[]> {
  const chunks: string[] = [];
  let text = "";
  let entries = 0;
  for (const piece of encodeFields(state)) {
    text += piece;
    while (text.length >= MAX_CHUNK_LENGTH) {
      chunks.push(text.slice(0, MAX_CHUNK_LENGTH));
      text = text.slice(MAX_CHUNK_LENGTH);
    }
    if (++entries % ENTRIES_PER_SLICE === 0) yield undefined;
  }
  if (text.length > 0) chunks.push(text);
  return chunks;
}

/** Yields the state as pieces of JSON, one for each entry of a large field. */
function* encodeFields(state: FleetState): Generator<string> {
  let prefix = "{";
  for (const [field, value] of Object.entries(state).sort(compareKeys)) {
    if (DERIVED_FIELDS.includes(field)) continue;
    yield `${prefix}${JSON.stringify(field)}:`;
    prefix = ",";
    if (field === "set") yield* encodeSet(state.set);
    else if (value instanceof Map || Array.isArray(value)) {
      const list = value instanceof Map ? listEntries(field, value) : value;
      yield* encodeList(list, "[]");
    } else yield JSON.stringify(value, replaceValue);
  }
  yield "}";
}

function* encodeSet(set: FleetState["set"]): Generator<string> {
  let prefix = "{";
  for (const [kind, objects] of Object.entries(set).sort(compareKeys)) {
    yield `${prefix}${JSON.stringify(kind)}:`;
    prefix = ",";
    yield* encodeList(Object.entries(objects).sort(compareKeys), "{}");
  }
  yield "}";
}

/** Encodes values as a JSON array, or entries as a JSON object. */
function* encodeList(
  list: readonly unknown[],
  brackets: "[]" | "{}",
): Generator<string> {
  let prefix = brackets[0]!;
  for (const item of list) {
    yield prefix +
      (brackets === "[]"
        ? JSON.stringify(item, replaceValue)
        : encodeProperty(item as unknown[]));
    prefix = ",";
  }
  yield prefix === "," ? brackets[1]! : brackets;
}

function encodeProperty([name, value]: unknown[]): string {
  return `${JSON.stringify(name)}:${JSON.stringify(value, replaceValue)}`;
}

/**
 * Decodes the chunks of {@linkcode encodeCheckpoint}, which must be in order.
 * Fields that can be computed from others are rebuilt.
 *
 * @throws {SyntaxError} If the chunks together are not valid JSON.
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
  for (const field of SORTED_MAP_FIELDS) {
    Object.assign(state, { [field]: new Map(fields[field]) });
  }
  for (const wave of state.waves.values()) wave.done = new Map(wave.done);
  for (const [name, host] of state.hosts) {
    indexHost(state, name, host.owner);
    if (host.move !== undefined) addIncoming(state, host.move.to, 1);
  }
  for (const job of state.jobs.values()) {
    if (job.state === "running") addUsage(state, job, 1);
  }
  return state;
}

/** Fields that are computed from others and not encoded. */
const DERIVED_FIELDS = ["hostsByPool", "incomingByPool", "usageByTeam"];

function replaceValue(key: string, value: unknown): unknown {
  if (DERIVED_FIELDS.includes(key)) return undefined;
  if (value instanceof Map) {
    return listEntries(key, value);
  }
  if (typeof value !== "object" || value === null || Array.isArray(value)) {
    return value;
  }
  return Object.fromEntries(Object.entries(value).sort(compareKeys));
}

function listEntries(field: string, map: Map<unknown, unknown>): unknown[][] {
  const entries = [...map];
  // Outcomes keep the order of their offsets, in which they are removed.
  return field === "outcomes" ? entries : entries.sort(compareKeys);
}

function compareKeys(left: unknown[], right: unknown[]): number {
  return String(left[0]) < String(right[0]) ? -1 : 1;
}
