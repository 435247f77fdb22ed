/**
 * Decision about a call by its key. Answers calls with unknown keys, and keys
 * that were taken away while this member did not learn of it.
 *
 * @module
 */

import type { Configuration, Queue } from "../../fleet.ts";
import { findOrganisation } from "./find_organisation.ts";

/** Part of the promised time that is left for differences of clocks. */
const REVOCATION_MARGIN_MS = 100;

/** Decision about a call. */
export type CallDecision =
  /** `organisation` is that of the key; undefined if the call needs no key. */
  | { type: "allowed"; organisation: string | undefined }
  /** No organisation holds the key. */
  | { type: "unknownKey" }
  /** The key may have been taken away longer ago than promised. */
  | { type: "outdated" };

/** What decides about a call. */
export type Call = {
  queue: Queue;
  /** Key that the caller sent; empty if there is none. */
  key: string;
  /**
   * Time since the configuration was certainly the newest one. It has to be
   * determined after the call was read, as the process may be paused before.
   */
  configurationAgeMs(): number;
  /**
   * Time after a key was taken away from which no call with it is served;
   * undefined if there is no such promise.
   */
  maxRevocationMs: number | undefined;
};

/**
 * Decides whether a call is served. A configuration that was the newest one at
 * an instant can only miss keys that were taken away later, and the caller sent
 * the call before it is decided about: so while its age is below the promised
 * time, no call breaks the promise.
 *
 * @example
 * ```ts
 * const decision = authorizeCall(configuration, call);
 * ```
 */
export function authorizeCall(
  { organisations }: Pick<Configuration, "organisations">,
  call: Call,
): CallDecision {
  if (organisations === undefined || call.queue.isPublic) {
    return { type: "allowed", organisation: undefined };
  }
  const { maxRevocationMs } = call;
  const isOutdated = maxRevocationMs !== undefined &&
    call.configurationAgeMs() >= maxRevocationMs - REVOCATION_MARGIN_MS;
  // A key that is unknown here may have been added meanwhile.
  if (isOutdated) return { type: "outdated" };
  const organisation = findOrganisation(organisations, call.key);
  if (organisation === undefined) return { type: "unknownKey" };
  return { type: "allowed", organisation };
}
