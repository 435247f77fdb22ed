/**
 * Command that publishes an object set.
 *
 * @module
 */

import {
  describeChange,
  diffObjectSets,
  type ObjectSet,
} from "@lagoonloom/objects";
import type {
  OperatorClient,
  PublicationOutcome,
  VersionedSet,
} from "@lagoonloom/operators";
import {
  newestResult,
  queryDaemons,
  reportNoResult,
} from "./_query_daemons.ts";
import { readSet } from "./_read_set.ts";
import { reportPublication } from "./_report_publication.ts";
import { findOutcome, sendPublication } from "./_send_publication.ts";
import type { RemoteContext } from "./command_context.ts";
import { EXIT_CODE, type ExitCode } from "./exit_code.ts";

const MAX_LISTED_PUBLICATIONS = 100;

/** Options of the command `publish`. */
export type PublishRequest = {
  files: string[];
  /** Version of the object set that the operator has seen. */
  expectedVersion: number;
  /** Id of an earlier publication whose outcome is unknown. */
  id?: string | undefined;
};

/**
 * Publishes files as the new object set. Only the difference to the expected
 * version is sent, always with the same id. If a response is lost, the outcome
 * is looked up by id before the change is sent again, so that it takes effect
 * at most once.
 *
 * @example
 * ```ts
 * const request = { files: ["set.ini"], expectedVersion: 4 };
 * const exitCode = await publishCommand(request, context);
 * ```
 */
export async function publishCommand(
  request: PublishRequest,
  context: RemoteContext,
): Promise<ExitCode> {
  const read = await readSet(request.files, context);
  if (read.type === "failed") return read.exitCode;
  const id = request.id ?? context.createId();
  if (request.id !== undefined) {
    const known = await findOutcome(id, context);
    if (known.type !== "unknown") return reportPublication(known, { context });
  }
  const results = await queryDaemons(context.clients, (c) => c.currentSet());
  const newest = newestResult(results, ({ version }) => version);
  if (newest === undefined) return reportNoResult(results, context);
  const { value: current, client: firstClient } = newest;
  const { expectedVersion } = request;
  let outcome = await checkVersion(newest, { expectedVersion, id });
  if (outcome === undefined) {
    const change = diffObjectSets(current.set, read.set);
    const lines = describeChange(change, current.set);
    if (lines.length === 0) return reportUnchanged(current, context);
    if (!context.isJson) { for (const line of lines) context.print(line); }
    const { operator } = context;
    const publication = {
      publicationId: id,
      expectedVersion,
      operator,
      change,
    };
    outcome = await sendPublication(publication, { firstClient, context });
  }
  const isConflict = outcome.type === "refused" && outcome.cause === "conflict";
  if (!isConflict) return reportPublication(outcome, { context });
  const difference = await findDifference(read.set, context);
  return reportPublication(outcome, { context, difference });
}

type NewestSet = { client: OperatorClient; value: VersionedSet };

/**
 * Returns a conflict if the version in force is not the expected one. If the
 * publication with this id is among the newer versions, it was accepted.
 */
async function checkVersion(
  { client, value: { version } }: NewestSet,
  { expectedVersion, id }: { expectedVersion: number; id: string },
): Promise<PublicationOutcome | undefined> {
  if (version === expectedVersion) return undefined;
  const history = await client.history(MAX_LISTED_PUBLICATIONS);
  const winners = history.orDefault([])
    .filter((entry) => entry.version > expectedVersion)
    .reverse();
  const own = winners.find((entry) => entry.publicationId === id);
  if (own !== undefined) return { type: "accepted", ...own };
  const reason = `The newest version that a daemon reported is ${version}; ` +
    `version ${expectedVersion} was expected.`;
  const currentVersion = version;
  return {
    type: "refused",
    cause: "conflict",
    reason,
    currentVersion,
    winners,
  };
}

/** Describes how a set differs from the one that is in force now. */
async function findDifference(wanted: ObjectSet, context: RemoteContext) {
  const results = await queryDaemons(context.clients, (c) => c.currentSet());
  const newest = newestResult(results, ({ version }) => version);
  if (newest === undefined) return [];
  const { set } = newest.value;
  return describeChange(diffObjectSets(set, wanted), set);
}

function reportUnchanged(
  { version }: VersionedSet,
  context: RemoteContext,
): ExitCode {
  context.print(
    context.isJson
      ? JSON.stringify({ type: "unchanged", version })
      : `Version ${version} is the same set; nothing to publish.`,
  );
  return EXIT_CODE.ok;
}
