import { applySetChange, checkObjectSet } from "@lagoonloom/objects";
import type { Problem, SetChange } from "@lagoonloom/objects";
import type { EventLog } from "@lagoonloom/telemetry";
import { appendAndFold, type AppendAndFoldOptions } from "./append_and_fold.ts";

/** Change of the set that an operator publishes. */
export type Publication = {
  /** Id that the operator chose, by which the outcome is found again. */
  id: string;
  expectedVersion: number;
  change: SetChange;
  operator: string;
};

/** Publication that took effect before another one could. */
export type Winner = {
  version: number;
  operator: string;
  /** Objects that the winner changed, as `kind/name`. */
  changed: readonly string[];
};

/** Outcome of a publication. */
export type PublicationOutcome =
  | { type: "accepted"; version: number; offset: number }
  | {
    type: "refused";
    reason: string;
    problems: readonly Problem[];
    /** Publication that took effect instead, if another one won. */
    winner: Winner | undefined;
  }
  | { type: "not-accepted"; reason: string }
  | { type: "unknown"; id: string; reason: string };

/** Options of {@linkcode publish}. */
export type PublishOptions = AppendAndFoldOptions & { events: EventLog };

/**
 * Publishes a change of the set. It is accepted only after this daemon folded
 * it as applied.
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
  const { id } = publication;
  const known = findPublication(id, options);
  if (known !== undefined) return known;
  const problems = findProblems(publication, options);
  if (problems.length > 0) {
    const reason = "The set is not valid.";
    return { type: "refused", reason, problems, winner: undefined };
  }
  const { expectedVersion, change, operator } = publication;
  const result = await appendAndFold({
    id,
    body: { type: "set.changed", expectedVersion, change, operator },
  }, options);
  switch (result.type) {
    case "folded":
      return findPublication(id, options) ??
        { type: "unknown", id, reason: "The record is no longer remembered." };
    case "not-appended":
      return { type: "not-accepted", reason: result.reason };
    case "unknown":
      options.events.log("publicationUnknown", { id, reason: result.reason });
      return { type: "unknown", id, reason: result.reason };
  }
}

/**
 * Returns the outcome of an earlier publication, or undefined if this daemon
 * does not remember it.
 *
 * @example
 * ```ts
 * const outcome = findPublication("publish-17", { fold, events });
 * ```
 */
export function findPublication(
  id: string,
  options: Pick<PublishOptions, "fold" | "events">,
): PublicationOutcome | undefined {
  const state = options.fold.state();
  const entry = state.history.find((entry) => entry.recordId === id);
  if (entry !== undefined) {
    const { version, offset } = entry;
    return { type: "accepted", version, offset };
  }
  const remembered = state.outcomes.get(id);
  if (remembered?.outcome.type !== "refused") return undefined;
  const { reason } = remembered.outcome;
  options.events.log("publicationRefused", { id, reason });
  // The winner is the last publication before the refused record.
  const winner = state.history
    .filter((entry) => entry.offset < remembered.offset).at(-1);
  return {
    type: "refused",
    reason,
    problems: [],
    winner: winner && {
      version: winner.version,
      operator: winner.operator,
      changed: [...winner.put, ...winner.removed],
    },
  };
}

/**
 * Finds the problems of the resulting set, if it is based on the version in
 * force. Otherwise the fold decides, which names the winner.
 */
function findProblems(
  publication: Publication,
  options: PublishOptions,
): Problem[] {
  const state = options.fold.state();
  if (publication.expectedVersion !== state.setVersion) return [];
  return checkObjectSet(applySetChange(state.set, publication.change));
}
