import type { RecordOutcome } from "@lagoonloom/decisions";
import type { AppendOutcome, PlatformClient } from "@lagoonloom/platform";
import type { ControlRecord } from "@lagoonloom/records";
import type { ControlFold } from "./control_fold.ts";

/** Outcome of a record of the stream `control` after its fold. */
export type FoldedOutcome =
  | { type: "folded"; outcome: RecordOutcome; offset: number }
  /** The log did not take the record. */
  | { type: "not-appended"; reason: string }
  /** The record may still appear in the log. */
  | { type: "unknown"; reason: string };

/** Options of {@linkcode appendAndFold}. */
export type AppendAndFoldOptions = {
  platform: Pick<PlatformClient, "append">;
  fold: ControlFold;
  /** Longest time in milliseconds that the outcome is waited for. */
  waitMs: number;
};

/**
 * Appends a record once and waits until it is folded. If the log's answer is
 * lost, the record is looked up by its id; it is never appended again.
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
