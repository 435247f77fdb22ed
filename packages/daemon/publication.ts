/**
 * Publications of changes of the object set, and their history.
 *
 * @module
 */

import { applySetChange, checkObjectSet } from "@lagoonloom/objects";
import type { Problem } from "@lagoonloom/objects";
import type {
  HistoryEntry,
  Publication,
  PublicationOutcome,
} from "@lagoonloom/operators";
import type { EventLog } from "@lagoonloom/telemetry";
import { appendAndFold, type AppendAndFoldOptions } from "./append_and_fold.ts";
import type { ControlFold } from "./control_fold.ts";

/** Options of {@linkcode publish}. */
export type PublishOptions = AppendAndFoldOptions & { events: EventLog };

/**
 * Publishes a change of the set. The change is accepted only after this daemon
 * has folded and applied it. A publication whose outcome is known is not
 * appended again; the known outcome is returned.
 *
 * @example
 * ```ts
 * const outcome = await publish(publication, options);
 * ```
 */
export async function publish(
  publication: Publication,
  options: PublishOptions,
): Promise<PublicationOutcome> {
  const { fold, events } = options;
  const { publicationId, expectedVersion, change, operator } = publication;
  const known = findPublication(publicationId, fold);
  if (known.type !== "unknown") return known;
  const problems = findProblems(publication, fold);
  if (problems.length > 0) {
    return {
      type: "refused",
      cause: "invalid",
      reason: "The resulting set is not valid.",
      problems,
    };
  }
  const result = await appendAndFold({
    id: publicationId,
    body: { type: "set.changed", expectedVersion, change, operator },
  }, options);
  if (result.type === "not-appended") {
    const { reason } = result;
    return { type: "refused", cause: "unavailable", reason };
  }
  if (result.type === "unknown") {
    events.log("publicationUnknown", {
      id: publicationId,
      reason: result.reason,
    });
    return { type: "unknown", publicationId };
  }
  const outcome = findPublication(publicationId, fold, expectedVersion);
  if (outcome.type === "refused") {
    const { reason } = outcome;
    events.log("publicationRefused", { id: publicationId, reason });
  }
  return outcome;
}

/**
 * Returns the outcome of an earlier publication, `unknown` if this daemon has
 * not folded it.
 *
 * @example
 * ```ts
 * const outcome = findPublication("publication-17", fold);
 * ```
 */
export function findPublication(
  publicationId: string,
  fold: ControlFold,
  expectedVersion?: number,
): PublicationOutcome {
  const state = fold.state();
  const entry = state.history.find((it) => it.recordId === publicationId);
  if (entry !== undefined) {
    return { type: "accepted", version: entry.version, offset: entry.offset };
  }
  const remembered = state.outcomes.get(publicationId);
  if (remembered?.outcome.type !== "refused") {
    return { type: "unknown", publicationId };
  }
  const { reason } = remembered.outcome;
  // Publications that took effect after the version that the author expected.
  const winners = listHistory(fold).filter((it) =>
    it.offset < remembered.offset &&
    it.version > (expectedVersion ?? Infinity)
  );
  const isConflict = winners.length > 0;
  return {
    type: "refused",
    cause: isConflict ? "conflict" : "invalid",
    reason,
    currentVersion: state.setVersion,
    ...(isConflict ? { winners } : {}),
  };
}

/**
 * Returns the publications that took effect, oldest first.
 *
 * @example
 * ```ts
 * const newest = listHistory(fold).at(-1);
 * ```
 */
export function listHistory(fold: ControlFold): HistoryEntry[] {
  return fold.state().history.map(({ recordId, ...entry }) => ({
    ...entry,
    publicationId: recordId,
  }));
}

/**
 * Finds the problems of the resulting set, if the publication is based on the
 * version in force. Otherwise the fold refuses it as a conflict.
 */
function findProblems(publication: Publication, fold: ControlFold): Problem[] {
  const state = fold.state();
  if (publication.expectedVersion !== state.setVersion) return [];
  return checkObjectSet(applySetChange(state.set, publication.change));
}
