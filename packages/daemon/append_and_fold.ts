/**
 * Appends of records to the stream `control` that wait for their outcome.
 *
 * @module
 */

import type { RecordOutcome } from "@lagoonloom/decisions";
import type { AppendOutcome, PlatformClient } from "@lagoonloom/platform";
import type { ControlRecord } from "@lagoonloom/records";
import type { ControlFold } from "./control_fold.ts";

/** Outcome of an append to the stream `control` and of the record's fold. */
export type FoldedOutcome =
  | { type: "folded"; outcome: RecordOutcome; offset: number }
  /** The log refused the record. */
  | { type: "not-appended"; reason: string }
  /** The record may be in the log, or may still reach it. */
  | { type: "unknown"; reason: string };

/** Options of {@linkcode appendAndFold}. */
export type AppendAndFoldOptions = {
  platform: Pick<PlatformClient, "append">;
  fold: ControlFold;
  /** Longest wait for the outcome in milliseconds. */
  waitMs: number;
};

/**
 * Appends a record to the stream `control` and waits until this daemon has
 * folded it, that is, applied it to its state. The record is never appended
 * again, even if the log's answer is lost: its outcome is found by its id.
 *
 * @example
 * ```ts
 * const options = { platform, fold, waitMs: 3_000 };
 * const result = await appendAndFold({ id: "join-1", body }, options);
 * ```
 */
export async function appendAndFold(
  record: { id: string; body: ControlRecord },
  options: AppendAndFoldOptions,
): Promise<FoldedOutcome> {
  const { platform, fold, waitMs } = options;
  const appended = await platform.append({ stream: "control", ...record });
  if (appended.type === "refused") {
    return { type: "not-appended", reason: appended.reason };
  }
  const found = await fold.awaitOutcome(record.id, waitMs);
  if (found !== undefined) {
    return { type: "folded", outcome: found.outcome, offset: found.offset };
  }
  return { type: "unknown", reason: reasonOf(appended) };
}

function reasonOf(appended: Exclude<AppendOutcome, { type: "refused" }>) {
  return appended.type === "appended"
    ? "The record is in the log, but this daemon has not read it yet."
    : appended.reason;
}
