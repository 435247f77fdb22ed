import type {
  OperatorClient,
  Publication,
  PublicationOutcome,
} from "@lagoonloom/operators";
import { askDaemons, isRefusal } from "./_ask_daemons.ts";
import { describeClientError } from "./_output.ts";
import type { RemoteContext } from "./command_context.ts";

type Refused = Extract<PublicationOutcome, { type: "refused" }>;

/** Sends a publication until its outcome is known or the attempts end. */
export async function sendPublication(
  publication: Publication,
  { first, context }: { first: OperatorClient; context: RemoteContext },
): Promise<PublicationOutcome> {
  const others = context.clients.filter((client) => client !== first);
  const clients = [first, ...others];
  const id = publication.publicationId;
  let mayBeAppended = false;
  let last: PublicationOutcome = { type: "unknown", publicationId: id };
  for (let attempt = 0; attempt < context.publishAttempts; attempt++) {
    if (attempt > 0) await context.wait(context.retryDelayMs);
    if (mayBeAppended) {
      const found = await findOutcome(id, context);
      if (found.type !== "unknown") return found;
    }
    const client = clients[attempt % clients.length]!;
    const result = await client.submitChange(publication);
    const step = result.caseOf({
      Left: (error) => {
        const text = describeClientError(error);
        context.printError(`${client.address}: ${text}`);
        const reason = `${client.address}: ${text}`;
        if (isRefusal(error)) {
          return { isSent: false, outcome: refusedFor("invalid", reason) };
        }
        const isSent = error.type !== "unreachable" || error.sent;
        return { isSent, outcome: refusedFor("unavailable", reason) };
      },
      Right: (outcome) => ({ isSent: outcome.type === "unknown", outcome }),
    });
    mayBeAppended ||= step.isSent;
    if (step.outcome.type !== "unknown") last = step.outcome;
    const final = finalOutcome(step.outcome, { publication, mayBeAppended });
    if (final !== undefined) return final;
  }
  const found: PublicationOutcome = mayBeAppended
    ? await findOutcome(id, context)
    : last;
  return found;
}

function refusedFor(cause: Refused["cause"], reason: string): Refused {
  return { type: "refused", cause, reason };
}

/**
 * Returns the outcome that ends the attempts, or undefined to go on. While an
 * earlier attempt may be appended, only what a daemon says of the id counts.
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
  // A conflict is final once another publication is known to have the version.
  const isLost = winners.some(({ version }) => version === expectedVersion + 1);
  if (mayBeAppended && !isLost) return undefined;
  return outcome;
}

/** Looks up a publication at all daemons. */
export async function findOutcome(
  id: string,
  context: RemoteContext,
): Promise<PublicationOutcome> {
  const answers = await askDaemons(context.clients, (c) => c.publication(id));
  const known = answers.flatMap(({ value }) =>
    value === undefined || value.type === "unknown" ? [] : [value]
  );
  return known.find(({ type }) => type === "accepted") ??
    known.find((value) =>
      value.type === "refused" && value.cause !== "unavailable"
    ) ??
    { type: "unknown", publicationId: id };
}
