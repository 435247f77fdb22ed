/**
 * Decision about who may see, cancel and repeat a job. Answers callers that use
 * the id of a job of another organisation.
 *
 * @module
 */

import type { Configuration, Queue } from "../../fleet.ts";
import type { AcceptedJob, Caller } from "../../submission.ts";

/** Returns a caller without fields that are undefined, as the RPCs need it. */
export function compactCaller(
  { organisation, queue }: Caller,
): { organisation?: string; queue?: string } {
  return {
    ...(organisation === undefined ? {} : { organisation }),
    ...(queue === undefined ? {} : { queue }),
  };
}

/** What decides about the access to a job. */
export type OwnedJob = Pick<AcceptedJob, "organisation" | "queue">;

/** Returns the caller of an allowed call. */
export function callerOf(
  configuration: Pick<Configuration, "organisations"> | undefined,
  { queue, organisation }: {
    queue: Pick<Queue, "name">;
    organisation?: string | undefined;
  },
): Caller {
  if (organisation !== undefined) return { organisation };
  if (configuration?.organisations === undefined) return {};
  return { queue: queue.name };
}

/**
 * Returns whether a job is accessible to a caller. A job of no organisation was
 * accepted without a key, or by a version that stored none.
 */
export function mayAccess(
  { organisation, queue }: OwnedJob,
  caller: Caller,
): boolean {
  if (organisation === undefined) return true;
  if (caller.organisation !== undefined) {
    return caller.organisation === organisation;
  }
  return caller.queue === undefined || caller.queue === queue;
}

/**
 * Returns whether a denied caller may belong to the job's organisation under
 * another name: one that the configuration does not have (any more). Its caller
 * must not be told that the job does not exist.
 */
export function isOrganisationGone(
  { organisation }: OwnedJob,
  configuration: Pick<Configuration, "organisations"> | undefined,
): boolean {
  const organisations = configuration?.organisations;
  if (organisations === undefined) return true;
  return organisations.every(({ name }) => name !== organisation);
}

/**
 * Returns whether a repeated record of a job would replace the organisation of
 * the first one in the store, which keeps the newest record of each key.
 */
export function replacesOrganisation(
  first: OwnedJob,
  repeat: OwnedJob,
): boolean {
  return first.organisation !== undefined &&
    first.organisation !== repeat.organisation;
}
