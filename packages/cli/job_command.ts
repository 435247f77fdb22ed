/**
 * Commands that submit, cancel and list jobs.
 *
 * @module
 */

import type {
  JobOutcome,
  JobSubmission,
  OperatorClient,
  OperatorResult,
} from "@lagoonloom/operators";
import {
  isRefusal,
  newestResult,
  queryDaemons,
  reportNoResult,
} from "./_query_daemons.ts";
import { describeClientError, formatTable, formatTime } from "./_output.ts";
import type { RemoteContext } from "./command_context.ts";
import { EXIT_CODE, type ExitCode } from "./exit_code.ts";

/** Job to submit, without the fields that every request has. */
export type JobSubmitRequest = Omit<JobSubmission, "requestId" | "operator"> & {
  /** Id of an earlier request that is repeated, as its outcome is unknown. */
  id?: string | undefined;
};

/**
 * Submits a job. Retries repeat the id of the request, so that the job is
 * accepted at most once.
 *
 * @example
 * ```ts
 * const exitCode = await submitJobCommand(request, context);
 * ```
 */
export async function submitJobCommand(
  { id, ...job }: JobSubmitRequest,
  context: RemoteContext,
): Promise<ExitCode> {
  const requestId = id ?? context.createId();
  const submission = { ...job, requestId, operator: context.operator };
  return await sendRequest(requestId, context, {
    successText: `Job ${job.job} was accepted`,
    send: (client) => client.submitJob(submission),
  });
}

/**
 * Cancels a job. Retries repeat the id of the request.
 *
 * @example
 * ```ts
 * const exitCode = await cancelJobCommand({ job: "j1" }, context);
 * ```
 */
export async function cancelJobCommand(
  { job, id }: { job: string; id?: string | undefined },
  context: RemoteContext,
): Promise<ExitCode> {
  const requestId = id ?? context.createId();
  const cancellation = { requestId, operator: context.operator };
  return await sendRequest(requestId, context, {
    successText: `Job ${job} was cancelled`,
    send: (client) => client.cancelJob(job, cancellation),
  });
}

type SendOptions = {
  /** Start of the message about an accepted request. */
  successText: string;
  send: (client: OperatorClient) => OperatorResult<JobOutcome>;
};

/**
 * Sends a request until its outcome is known or all attempts are used. Each
 * attempt has the same id, so that the request takes effect at most once.
 */
async function sendRequest(
  requestId: string,
  context: RemoteContext,
  { successText, send }: SendOptions,
): Promise<ExitCode> {
  const { clients } = context;
  let mayBeAppended = false;
  let last: JobOutcome = { type: "unknown", requestId };
  for (let attempt = 0; attempt < context.maxAttempts; attempt++) {
    if (attempt > 0) await context.wait(context.retryDelayMs);
    const client = clients[attempt % clients.length]!;
    const result = await send(client);
    const outcome = result.caseOf<JobOutcome>({
      Right: (value) => value,
      Left: (error) => {
        const reason = `${client.address}: ${describeClientError(error)}`;
        if (isRefusal(error)) {
          return { type: "refused", cause: "invalid", reason };
        }
        context.printError(reason);
        const isSent = error.type !== "unreachable" || error.sent;
        return isSent
          ? { type: "unknown", requestId }
          : { type: "refused", cause: "unavailable", reason };
      },
    });
    if (outcome.type === "unknown") mayBeAppended = true;
    last = outcome;
    const isInconclusive = outcome.type === "unknown" ||
      (outcome.type === "refused" && outcome.cause === "unavailable");
    if (!isInconclusive) break;
  }
  const isUnavailable = last.type === "refused" && last.cause === "unavailable";
  // An earlier attempt may still take effect, although the last one was
  // refused.
  const outcome: JobOutcome = isUnavailable && mayBeAppended
    ? { type: "unknown", requestId }
    : last;
  return report(outcome, { context, successText });
}

function report(
  outcome: JobOutcome,
  { context, successText }: { context: RemoteContext; successText: string },
): ExitCode {
  const isInconclusive = outcome.type === "unknown" ||
    (outcome.type === "refused" && outcome.cause === "unavailable");
  if (context.isJson) context.print(JSON.stringify(outcome));
  else if (outcome.type === "accepted") {
    context.print(`${successText} at offset ${outcome.offset}.`);
    if (outcome.blocked !== undefined) {
      context.printError(`It can't run now: ${outcome.blocked}`);
    }
  } else if (outcome.type === "refused") {
    context.printError(`Not accepted: ${outcome.reason}`);
  } else {
    context.printError(
      `The outcome of request ${outcome.requestId} is unknown; run the ` +
        `command again with --id ${outcome.requestId}.`,
    );
  }
  if (outcome.type === "accepted") return EXIT_CODE.ok;
  return isInconclusive ? EXIT_CODE.unknown : EXIT_CODE.refused;
}

/**
 * Prints the jobs that a daemon knows, most recent change first. It is the
 * daemon that has applied the most of the log.
 *
 * @example
 * ```ts
 * const exitCode = await listJobsCommand({ state: "queued" }, context);
 * ```
 */
export async function listJobsCommand(
  { state }: { state?: string | undefined },
  context: RemoteContext,
): Promise<ExitCode> {
  const results = await queryDaemons(
    context.clients,
    (client) => client.listJobs(state),
  );
  const newest = newestResult(results, ({ offset }) => offset)?.value;
  if (newest === undefined) return reportNoResult(results, context);
  if (context.isJson) {
    context.print(JSON.stringify(newest));
    return EXIT_CODE.ok;
  }
  const rows = newest.jobs.map((job) => [
    job.job,
    job.team,
    job.urgency,
    job.state,
    job.worker ?? "-",
    formatTime(job.sinceMs),
    job.reason,
  ]);
  const heading = ["job", "team", "urgency", "state", "worker", "since"];
  for (const line of formatTable([[...heading, "reason"], ...rows])) {
    context.print(line);
  }
  if (newest.omitted > 0) context.print(`${newest.omitted} more jobs`);
  return EXIT_CODE.ok;
}
