import type { PlatformClient } from "@lagoonloom/platform";
import type { EventLog } from "@lagoonloom/telemetry";
import type { ControlFold } from "./control_fold.ts";
import { encodeInTurns } from "./encode_in_turns.ts";

/**
 * Records after the last checkpoint from which a new one is due whatever its
 * age, since a start folds them all.
 */
const MAX_RECORDS_SINCE_CHECKPOINT = 10_000;

/** Longest interval between two checks in milliseconds. */
const CHECK_INTERVAL_MS = 60_000;

/** Attempts to append one chunk. */
const MAX_ATTEMPTS = 3;

/** Options of {@linkcode createCheckpoints}. */
export type CheckpointsOptions = {
  platform: PlatformClient;
  fold: ControlFold;
  events: EventLog;
  /** Retention that the log reported, in milliseconds. */
  retentionMs: () => number | undefined;
  /** Place of this entry host among the members; undefined if it is none. */
  rank: () => number | undefined;
};

/** Checkpoints of the folded state. */
export type Checkpoints = {
  /** Appends a checkpoint if one is due. */
  tick(nowMs: number): Promise<void>;
};

/**
 * Creates the checkpoints of the folded state. One is due when the oldest
 * record still needed is older than half the retention. The members wait for
 * one another in the order of their names, so that usually one of them appends.
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
    // With a short retention the members wait less for one another.
    const turnMs = Math.min(CHECK_INTERVAL_MS, retentionMs / 100);
    if (nowMs - dueSinceMs < rank * turnMs) return;
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
  needed: { offset: number; retentionMs: number },
): Promise<boolean> {
  const { offset, retentionMs } = needed;
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

/** Appends the state in chunks; the fold ignores duplicates of them. */
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
    // A chunk whose answer was lost may be appended again without harm.
    if (outcome.type === "appended") return true;
  }
  return false;
}
