/**
 * Checkpoints of the folded state, which the daemons append to the log.
 *
 * @module
 */

import type { PlatformClient } from "@lagoonloom/platform";
import type { EventLog } from "@lagoonloom/telemetry";
import type { ControlFold } from "./control_fold.ts";
import { encodeInTurns } from "./encode_in_turns.ts";

/**
 * Number of records after the last checkpoint from which a new one is due
 * regardless of its age, since a daemon folds all of them when it starts.
 */
const MAX_RECORDS_SINCE_CHECKPOINT = 10_000;

/** Longest interval in milliseconds of checks whether a checkpoint is due. */
const CHECK_INTERVAL_MS = 60_000;

/** Most attempts to append one chunk. */
const MAX_ATTEMPTS = 3;

/** Options of {@linkcode createCheckpoints}. */
export type CheckpointsOptions = {
  platform: PlatformClient;
  fold: ControlFold;
  events: EventLog;
  /** Retention that the log reported, in milliseconds. */
  retentionMs: () => number | undefined;
  /** Index of this entry host among the sorted members, if it is a member. */
  rank: () => number | undefined;
};

/** Writer of checkpoints of the folded state to the log. */
export type Checkpoints = {
  /** Appends a checkpoint if one is due. */
  tick(nowMs: number): Promise<void>;
};

/**
 * Creates the writer of checkpoints of the folded state. A checkpoint is due
 * when the first record after the last one is older than half the retention of
 * the log. Members wait longer the later their names sort, so that usually only
 * one of them appends the checkpoint.
 *
 * @example
 * ```ts
 * const checkpoints = createCheckpoints(options);
 * await checkpoints.tick(performance.now());
 * ```
 */
export function createCheckpoints(options: CheckpointsOptions): Checkpoints {
  const { fold, events } = options;
  let dueAtMs = 0;
  let checkpointOffset = -1;
  let dueSinceMs: number | undefined;
  async function check(nowMs: number): Promise<void> {
    const retentionMs = options.retentionMs();
    const rank = options.rank();
    if (retentionMs === undefined || rank === undefined) return;
    const offset = Math.max(0, fold.state().checkpoint.offset);
    if (offset !== checkpointOffset) dueSinceMs = undefined;
    checkpointOffset = offset;
    if (!await isDue(options, { offset, retentionMs })) return;
    dueSinceMs ??= nowMs;
    // With a short retention, each member waits less.
    const waitPerRankMs = Math.min(CHECK_INTERVAL_MS, retentionMs / 100);
    if (nowMs - dueSinceMs < rank * waitPerRankMs) return;
    await appendCheckpoint(options);
  }
  return {
    async tick(nowMs) {
      if (nowMs < dueAtMs) return;
      dueAtMs = Infinity;
      try {
        await check(nowMs);
      } catch (error) {
        const task = "checkpoint";
        events.log("unexpectedFailure", { task, error: String(error) });
      }
      const retentionMs = options.retentionMs() ?? Infinity;
      const intervalMs = Math.min(CHECK_INTERVAL_MS, retentionMs / 100);
      dueAtMs = performance.now() + intervalMs;
    },
  };
}

async function isDue(
  { platform, fold }: CheckpointsOptions,
  lastCheckpoint: { offset: number; retentionMs: number },
): Promise<boolean> {
  const { offset, retentionMs } = lastCheckpoint;
  const { nextOffset } = fold.state();
  if (nextOffset <= offset) return false;
  if (nextOffset - offset > MAX_RECORDS_SINCE_CHECKPOINT) return true;
  const outcome = await platform.read({
    stream: "control",
    from: offset,
    limit: 1,
    waitMs: 0,
  });
  if (outcome.type === "unreachable") return false;
  if (outcome.type === "expired") return true;
  const timeMs = outcome.page.records[0]?.timeMs;
  return timeMs !== undefined && Date.now() - timeMs > retentionMs / 2;
}

/** Appends the state in chunks; the fold ignores duplicate chunks. */
async function appendCheckpoint(options: CheckpointsOptions): Promise<void> {
  const { fold, events } = options;
  const { offset, chunks } = await encodeInTurns(() => fold.state());
  for (const [chunk, data] of chunks.entries()) {
    const body = { offset, chunk, chunks: chunks.length, data };
    const isAppended = await appendChunk(options, body);
    if (!isAppended) return;
  }
  events.log("checkpointAppended", { offset, chunks: chunks.length });
}

async function appendChunk(
  { platform }: CheckpointsOptions,
  body: { offset: number; chunk: number; chunks: number; data: string },
): Promise<boolean> {
  const id = `checkpoint.${body.offset}.${body.chunk}`;
  for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
    const outcome = await platform.append({
      stream: "control",
      id,
      body: { type: "checkpoint", ...body },
    });
    // If only the answer was lost, this appends a duplicate, which is harmless.
    if (outcome.type === "appended") return true;
  }
  return false;
}
