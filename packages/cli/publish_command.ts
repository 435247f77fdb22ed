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
import { askDaemons, newestAnswer, reportNoAnswer } from "./_ask_daemons.ts";
import { readSet } from "./_read_set.ts";
import { reportPublication } from "./_report_publication.ts";
import { findOutcome, sendPublication } from "./_send_publication.ts";
import type { RemoteContext } from "./command_context.ts";
import { EXIT_CODE, type ExitCode } from "./exit_code.ts";

const MAX_WINNERS = 100;

/** Options of the command `publish`. */
export type PublishRequest = {
  files: string[];
  /** Version of the set that the operator saw. */
  expectedVersion: number;
  /** Id of an earlier call whose outcome is unknown. */
  id?: string | undefined;
};

/**
 * Publishes files as the whole set in force. Only the difference to the
 * expected version is sent, under an id that is chosen once. If the answer is
 * lost, the outcome is looked up by id before the change is sent again, so it
 * takes effect at most once.
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
  const answers = await askDaemons(context.clients, (c) => c.currentSet());
  const newest = newestAnswer(answers, ({ version }) => version);
  if (newest === undefined) return reportNoAnswer(answers, context);
  const { value: current, client: first } = newest;
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
    outcome = await sendPublication(publication, { first, context });
  }
  const isLost = outcome.type === "refused" && outcome.cause === "conflict";
  if (!isLost) return reportPublication(outcome, { context });
  const difference = await findDifference(read.set, context);
  return reportPublication(outcome, { context, difference });
}

type Newest = { client: OperatorClient; value: VersionedSet };

/**
 * Returns the outcome if the version in force is not the expected one. A
 * publication with the same id may be the reason.
 */
async function checkVersion(
  { client, value: { version } }: Newest,
  { expectedVersion, id }: { expectedVersion: number; id: string },
): Promise<PublicationOutcome | undefined> {
  if (version === expectedVersion) return undefined;
  const history = await client.history(MAX_WINNERS);
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

/** Describes how a set differs from the one that is in force by now. */
async function findDifference(wanted: ObjectSet, context: RemoteContext) {
  const answers = await askDaemons(context.clients, (c) => c.currentSet());
  const newest = newestAnswer(answers, ({ version }) => version);
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
