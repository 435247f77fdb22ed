/**
 * Sending of publications with retries that cannot apply a change twice.
 *
 * @module
 */

import type {
  OperatorClient,
  Publication,
  PublicationOutcome,
} from "@lagoonloom/operators";
import { isRefusal, queryDaemons } from "./_query_daemons.ts";
import { describeClientError } from "./_output.ts";
import type { RemoteContext } from "./command_context.ts";

type Refused = Extract<PublicationOutcome, { type: "refused" }>;

/**
 * Sends a publication, first to `firstClient` and then to the others in turn,
 * until its outcome is known or all attempts are used. Once an attempt may have
 * reached the log, the id is looked up before each further attempt.
 */
export async function sendPublication(
  publication: Publication,
  { firstClient, context }: {
    firstClient: OperatorClient;
    context: RemoteContext;
  },
): Promise<PublicationOutcome> {
  const others = context.clients.filter((client) => client !== firstClient);
  const clients = [firstClient, ...others];
  const id = publication.publicationId;
  let mayBeAppended = false;
  let last: PublicationOutcome = { type: "unknown", publicationId: id };
  for (let attempt = 0; attempt < context.maxAttempts; attempt++) {
    if (attempt > 0) await context.wait(context.retryDelayMs);
    if (mayBeAppended) {
      const found = await findOutcome(id, context);
      if (found.type !== "unknown") return found;
    }
    const client = clients[attempt % clients.length]!;
    const result = await client.submitChange(publication);
    const attemptResult = result.caseOf({
      Left: (error) => {
        const text = describeClientError(error);
        context.printError(`${client.address}: ${text}`);
        const reason = `${client.address}: ${text}`;
        if (isRefusal(error)) {
          return { isSent: false, outcome: createRefusal("invalid", reason) };
        }
        const isSent = error.type !== "unreachable" || error.sent;
        return { isSent, outcome: createRefusal("unavailable", reason) };
      },
      Right: (outcome) => ({ isSent: outcome.type === "unknown", outcome }),
    });
    mayBeAppended ||= attemptResult.isSent;
    if (attemptResult.outcome.type !== "unknown") last = attemptResult.outcome;
    const final = finalOutcome(attemptResult.outcome, {
      publication,
      mayBeAppended,
    });
    if (final !== undefined) return final;
  }
  const found: PublicationOutcome = mayBeAppended
    ? await findOutcome(id, context)
    : last;
  return found;
}

function createRefusal(cause: Refused["cause"], reason: string): Refused {
  return { type: "refused", cause, reason };
}

/**
 * Returns the outcome if it is final, or undefined to try again. If an earlier
 * attempt may be in the log, a refusal of a later one is not final, since it
 * says nothing about the earlier one.
 */
function finalOutcome(
  outcome: PublicationOutcome,
  { publication, mayBeAppended }: {
    publication: Publication;
    mayBeAppended: boolean;
  },
): PublicationOutcome | undefined {
  if (outcome.type === "accepted") return outcome;
  if (outcome.type === "unknown") return undefined;
  if (outcome.cause === "unavailable") return undefined;
  const winners = outcome.winners ?? [];
  const { publicationId, expectedVersion } = publication;
  const own = winners.find((entry) => entry.publicationId === publicationId);
  if (own !== undefined) return { type: "accepted", ...own };
  // A conflict is final if another publication has made the next version.
  const isSuperseded = winners.some(({ version }) =>
    version === expectedVersion + 1
  );
  if (mayBeAppended && !isSuperseded) return undefined;
  return outcome;
}

/** Looks up the outcome of a publication by its id at all daemons. */
export async function findOutcome(
  id: string,
  context: RemoteContext,
): Promise<PublicationOutcome> {
  const results = await queryDaemons(context.clients, (c) => c.publication(id));
  const known = results.flatMap(({ value }) =>
    value === undefined || value.type === "unknown" ? [] : [value]
  );
  return known.find(({ type }) => type === "accepted") ??
    known.find((value) =>
      value.type === "refused" && value.cause !== "unavailable"
    ) ??
    { type: "unknown", publicationId: id };
}
