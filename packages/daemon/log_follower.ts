/**
 * Follower of the stream `control`, with recovery from checkpoints and peers.
 *
 * @module
 */

import {
  decodeCheckpoint,
  encodeCheckpoint,
  type FleetState,
} from "@lagoonloom/decisions";
import type { PeerClient, TailResponse } from "@lagoonloom/peers";
import {
  type LogPage,
  type PlatformClient,
  TAIL_PAGE_RECORDS,
  tailStream,
} from "@lagoonloom/platform";
import { ControlRecord, type LogRecord } from "@lagoonloom/records";
import type { EventLog } from "@lagoonloom/telemetry";
import type { ControlFold } from "./control_fold.ts";

/** Timeout in milliseconds of a call for the snapshot of a peer. */
const SNAPSHOT_TIMEOUT_MS = 10_000;

/** Timeout in milliseconds of a call for records of a peer. */
const TAIL_TIMEOUT_MS = 1_000;

/** Most records of one call to a peer. */
const TAIL_LIMIT = 500;

/** Most records of one read in the search for a checkpoint. */
const SEARCH_LIMIT = 2_000;

/** Options of {@linkcode createLogFollower}. */
export type LogFollowerOptions = {
  platform: PlatformClient;
  fold: ControlFold;
  events: EventLog;
  /** Returns reachable peers whose state is newer, newest first. */
  peersAhead: () => readonly PeerClient[];
  signal: AbortSignal;
  random?: () => number;
};

/** Follower of the stream `control`. */
export type LogFollower = {
  /** Follows the log until the signal aborts. */
  run(): Promise<void>;
  /** Returns the monotonic time up to which the log was read, if it was. */
  readAtMs(): number | undefined;
  /** Returns whether a state was loaded from the log or from a peer. */
  isLoaded(): boolean;
  /** Returns whether this entry host itself read the log to its end. */
  hasReadLog(): boolean;
  /** Returns the retention that the log reported, in milliseconds. */
  retentionMs(): number | undefined;
  /**
   * Counts a read of the log by a peer that has no newer records as a read of
   * this entry host.
   */
  notePeerRead(readAtMs: number): void;
  /**
   * Fetches the missing records, or the snapshot, of a peer; returns whether
   * this succeeded.
   */
  catchUp(peer: PeerClient, targetOffset: number): Promise<boolean>;
};

/**
 * Creates the follower of the stream `control`, which folds its records. If the
 * log no longer holds the first record, it starts from a checkpoint, or from a
 * peer if the log holds no checkpoint or is unreachable.
 *
 * @example
 * ```ts
 * const follower = createLogFollower(options);
 * void follower.run();
 * ```
 */
export function createLogFollower(options: LogFollowerOptions): LogFollower {
  const { platform, fold, events, signal } = options;
  let readAtMs: number | undefined;
  let requestedAtMs = 0;
  let isReachable = true;
  let retentionMs: number | undefined;
  let isStateLoaded = false;
  let hasReadLog = false;
  function markLoaded(source: string): void {
    if (!isStateLoaded) {
      const { nextOffset } = fold.state();
      events.log("stateLoaded", { source, nextOffset });
    }
    isStateLoaded = true;
  }
  function recordPage(page: LogPage): void {
    retentionMs = page.retentionMs;
    if (isReachable) return;
    isReachable = true;
    events.log("logReachable", { stream: "control" });
  }
  const handlers = {
    nextOffset() {
      requestedAtMs = performance.now();
      return fold.state().nextOffset;
    },
    onRecords(records: readonly LogRecord[], page: LogPage) {
      recordPage(page);
      fold.fold(records);
      // After a full page the log may hold more records.
      if (records.length >= TAIL_PAGE_RECORDS) return;
      readAtMs = requestedAtMs;
      hasReadLog = true;
      markLoaded("log");
    },
    async onExpired(page: LogPage) {
      recordPage(page);
      const { nextOffset } = fold.state();
      const { oldestOffset } = page;
      events.log("retentionPassed", { nextOffset, oldestOffset });
      const state = await findCheckpoint(platform, page);
      if (state !== undefined && fold.replace(state)) return;
      for (const peer of options.peersAhead()) {
        if (await loadSnapshot(peer, fold)) return;
      }
    },
    onUnreachable(reason: string) {
      if (!isReachable) return;
      isReachable = false;
      events.log("logUnreachable", { stream: "control", reason });
    },
  };
  return {
    run: () =>
      tailStream(platform, handlers, {
        stream: "control",
        signal,
        ...(options.random === undefined ? {} : { random: options.random }),
      }),
    readAtMs: () => readAtMs,
    isLoaded: () => isStateLoaded,
    hasReadLog: () => hasReadLog,
    retentionMs: () => retentionMs,
    notePeerRead(atMs) {
      if (!isStateLoaded) return;
      readAtMs = Math.max(readAtMs ?? atMs, atMs);
    },
    async catchUp(peer, targetOffset) {
      const isComplete = await copyTail(peer, fold, targetOffset) ||
        await loadSnapshot(peer, fold);
      if (isComplete) markLoaded("peer");
      return isComplete;
    },
  };
}

/** Folds the recent records of a peer; returns false if it dropped some. */
async function copyTail(
  peer: PeerClient,
  fold: ControlFold,
  targetOffset: number,
): Promise<boolean> {
  while (fold.state().nextOffset < targetOffset) {
    const before = fold.state().nextOffset;
    const outcome = await peer.tail(
      { fromOffset: BigInt(before), limit: TAIL_LIMIT },
      { timeoutMs: TAIL_TIMEOUT_MS },
    );
    if (outcome.type === "unreachable") return false;
    fold.fold(outcome.response.records.flatMap(toLogRecord));
    // Without progress, the peer no longer has the next record.
    if (fold.state().nextOffset === before) return false;
  }
  return true;
}

function toLogRecord(record: TailResponse["records"][number]): LogRecord[] {
  try {
    const body: unknown = JSON.parse(new TextDecoder().decode(record.body));
    const { id } = record;
    const offset = Number(record.offset);
    return [{ offset, timeMs: Number(record.timeMs), id, body }];
  } catch {
    return [];
  }
}

async function loadSnapshot(
  peer: PeerClient,
  fold: ControlFold,
): Promise<boolean> {
  const outcome = await peer.snapshot({ timeoutMs: SNAPSHOT_TIMEOUT_MS });
  if (outcome.type === "unreachable") return false;
  const decoder = new TextDecoder();
  const state = decodeState(
    outcome.response.map((chunk) => decoder.decode(chunk.data)),
  );
  return state !== undefined && fold.replace(state);
}

/**
 * Encodes the state in the chunks that a peer receives as a snapshot.
 *
 * @example
 * ```ts
 * const chunks = snapshotChunks(fold.state());
 * ```
 */
export function snapshotChunks(
  state: FleetState,
): { nextOffset: bigint; data: Uint8Array }[] {
  const encoder = new TextEncoder();
  const nextOffset = BigInt(state.nextOffset);
  return encodeCheckpoint(state).map((chunk) => ({
    nextOffset,
    data: encoder.encode(chunk),
  }));
}

function decodeState(chunks: readonly string[]): FleetState | undefined {
  if (chunks.length === 0) return undefined;
  try {
    return decodeCheckpoint(chunks);
  } catch {
    return undefined;
  }
}

/** Finds the newest complete checkpoint that the log holds. */
async function findCheckpoint(
  platform: PlatformClient,
  first: LogPage,
): Promise<FleetState | undefined> {
  const pending = new Map<number, (string | undefined)[]>();
  let newest: { offset: number; chunks: string[] } | undefined;
  let from = first.oldestOffset;
  while (true) {
    const outcome = await platform.read({
      stream: "control",
      from,
      limit: SEARCH_LIMIT,
      waitMs: 0,
    });
    if (outcome.type === "unreachable") return undefined;
    const { records, nextOffset } = outcome.page;
    for (const record of records) {
      const found = collectChunk(pending, record);
      if (found !== undefined && found.offset >= (newest?.offset ?? 0)) {
        newest = found;
      }
    }
    if (records.length === 0) break;
    from = nextOffset;
  }
  return newest === undefined ? undefined : decodeState(newest.chunks);
}

/** Adds a chunk; returns the checkpoint if this was its last missing chunk. */
function collectChunk(
  pending: Map<number, (string | undefined)[]>,
  record: LogRecord,
): { offset: number; chunks: string[] } | undefined {
  const { body } = record;
  const isCheckpoint = typeof body === "object" && body !== null &&
    "type" in body && body.type === "checkpoint";
  if (!isCheckpoint) return undefined;
  const parsed = ControlRecord.safeParse(body);
  if (!parsed.success || parsed.data.type !== "checkpoint") return undefined;
  const { offset, chunk, chunks: count, data } = parsed.data;
  const chunks = pending.get(offset) ??
    new Array<string | undefined>(count).fill(undefined);
  pending.set(offset, chunks);
  chunks[chunk] = data;
  if (chunks.some((it) => it === undefined)) return undefined;
  pending.delete(offset);
  return { offset, chunks: chunks as string[] };
}
