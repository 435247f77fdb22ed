import type {
  JobOutcome,
  JobSubmission,
  OperatorClient,
  OperatorResult,
} from "@lagoonloom/operators";
import {
  askDaemons,
  isRefusal,
  newestAnswer,
  reportNoAnswer,
} from "./_ask_daemons.ts";
import { describeClientError, formatTable, formatTime } from "./_output.ts";
import type { RemoteContext } from "./command_context.ts";
import { EXIT_CODE, type ExitCode } from "./exit_code.ts";

/** Job to submit, without what every request carries. */
export type JobSubmitRequest = Omit<JobSubmission, "requestId" | "operator"> & {
  /** Id of an earlier call whose outcome is unknown. */
  id?: string | undefined;
};

/**
 * Submits a job under an id that is chosen once.
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
    done: `Job ${job.job} was accepted`,
    send: (client) => client.submitJob(submission),
  });
}

/**
 * Cancels a job under an id that is chosen once.
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
    done: `Job ${job} was cancelled`,
    send: (client) => client.cancelJob(job, cancellation),
  });
}

type SendOptions = {
  done: string;
  send: (client: OperatorClient) => OperatorResult<JobOutcome>;
};

/**
 * Sends a request until its outcome is known or the attempts end. Each attempt
 * carries the same id, under which the log takes it once.
 */
async function sendRequest(
  requestId: string,
  context: RemoteContext,
  { done, send }: SendOptions,
): Promise<ExitCode> {
  const { clients } = context;
  let mayBeAppended = false;
  let last: JobOutcome = { type: "unknown", requestId };
  for (let attempt = 0; attempt < context.publishAttempts; attempt++) {
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
    const isOpen = outcome.type === "unknown" ||
      (outcome.type === "refused" && outcome.cause === "unavailable");
    if (!isOpen) break;
  }
  const isOpen = last.type === "refused" && last.cause === "unavailable";
  // An earlier attempt may still take effect, whatever the last one says.
  const outcome: JobOutcome = isOpen && mayBeAppended
    ? { type: "unknown", requestId }
    : last;
  return report(outcome, { context, done });
}

function report(
  outcome: JobOutcome,
  { context, done }: { context: RemoteContext; done: string },
): ExitCode {
  const isOpen = outcome.type === "unknown" ||
    (outcome.type === "refused" && outcome.cause === "unavailable");
  if (context.isJson) context.print(JSON.stringify(outcome));
  else if (outcome.type === "accepted") {
    context.print(`${done} at offset ${outcome.offset}.`);
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
  return isOpen ? EXIT_CODE.unknown : EXIT_CODE.refused;
}

/**
 * Prints the jobs that the most advanced daemon knows, newest change first.
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
  const answers = await askDaemons(
    context.clients,
    (client) => client.listJobs(state),
  );
  const newest = newestAnswer(answers, ({ offset }) => offset)?.value;
  if (newest === undefined) return reportNoAnswer(answers, context);
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
