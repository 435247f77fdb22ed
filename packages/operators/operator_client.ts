/**
 * HTTP client of the daemons' API for operators.
 *
 * @module
 */

import got, { RequestError, type Response } from "got";
import { type Either, Left, Right } from "purify-ts";
import { z } from "zod";
import { DaemonStatus } from "./daemon_status.ts";
import { type ExplainedKind, Explanation } from "./explanation.ts";
import {
  type JobCancellation,
  JobList,
  JobOutcome,
  type JobSubmission,
} from "./job_request.ts";
import {
  HistoryEntry,
  type Publication,
  PublicationOutcome,
  VersionedSet,
} from "./publication.ts";
import { Refusal } from "./refusal.ts";

/** Options for {@linkcode createOperatorClient}. */
export type OperatorClientOptions = {
  /** IP address and port of a daemon's API for operators. */
  address: string;
  /** Key of the operator. */
  key: string;
  /** Longest time for a whole request, in milliseconds. */
  timeoutMs: number;
};

/** Reason why a request to a daemon has no result. */
export type OperatorClientError =
  /**
   * No complete response arrived. `sent` is false if no connection was
   * established, so that the daemon cannot have acted on the request.
   */
  | { type: "unreachable"; sent: boolean; message: string }
  /** The daemon refused the request, for example because of its key. */
  | { type: "refused"; refusal: Refusal }
  /** The response does not match the schema. */
  | { type: "invalid-response"; message: string };

/** Result of a request to a daemon. */
export type OperatorResult<Value> = Promise<
  Either<OperatorClientError, Value>
>;

/**
 * Client of one daemon. Each method sends the request that the handler of the
 * same name in `OperatorHandlers` handles.
 */
export type OperatorClient = {
  address: string;
  submitChange: (
    publication: Publication,
  ) => OperatorResult<PublicationOutcome>;
  currentSet: () => OperatorResult<VersionedSet>;
  status: () => OperatorResult<DaemonStatus>;
  history: (limit: number) => OperatorResult<HistoryEntry[]>;
  explain: (kind: ExplainedKind, name: string) => OperatorResult<Explanation>;
  publication: (id: string) => OperatorResult<PublicationOutcome>;
  submitJob: (submission: JobSubmission) => OperatorResult<JobOutcome>;
  cancelJob: (
    job: string,
    cancellation: JobCancellation,
  ) => OperatorResult<JobOutcome>;
  listJobs: (state?: string) => OperatorResult<JobList>;
};

/** Connection errors after which certainly nothing was sent. */
const CONNECT_ERRORS = new Set(["ECONNREFUSED", "EHOSTUNREACH", "ENETUNREACH"]);

/**
 * Creates a client of one daemon. It does not retry requests or follow
 * redirects. Errors are returned, not thrown.
 *
 * @example
 * ```ts
 * const client = createOperatorClient({
 *   address: "127.0.0.1:25001",
 *   key,
 *   timeoutMs: 5_000,
 * });
 * const status = await client.status();
 * ```
 */
export function createOperatorClient(
  options: OperatorClientOptions,
): OperatorClient {
  const http = got.extend({
    prefixUrl: `http://${options.address}/v1`,
    headers: { authorization: `Bearer ${options.key}` },
    timeout: { request: options.timeoutMs },
    retry: { limit: 0 },
    followRedirect: false,
    throwHttpErrors: false,
  });
  const get = <Schema extends z.ZodType>(path: string, schema: Schema) =>
    readResponse(() => http.get(path), schema);
  const encode = encodeURIComponent;
  return {
    address: options.address,
    submitChange: (publication) =>
      readResponse(
        () => http.post("changes", { json: publication }),
        PublicationOutcome,
      ),
    currentSet: () => get("set", VersionedSet),
    status: () => get("status", DaemonStatus),
    history: (limit) => get(`history?limit=${limit}`, z.array(HistoryEntry)),
    explain: (kind, name) =>
      get(`explain/${encode(kind)}/${encode(name)}`, Explanation),
    publication: (id) => get(`publications/${encode(id)}`, PublicationOutcome),
    submitJob: (json) =>
      readResponse(() => http.post("jobs", { json }), JobOutcome),
    cancelJob: (job, json) =>
      readResponse(
        () => http.post(`jobs/${encode(job)}/cancel`, { json }),
        JobOutcome,
      ),
    listJobs: (state) =>
      get(
        state === undefined ? "jobs" : `jobs?state=${encode(state)}`,
        JobList,
      ),
  };
}

async function readResponse<Schema extends z.ZodType>(
  send: () => Promise<Response<string>>,
  schema: Schema,
): OperatorResult<z.infer<Schema>> {
  let response: Response<string>;
  try {
    response = await send();
  } catch (error) {
    if (!(error instanceof RequestError)) throw error;
    const { code, message } = error;
    return Left({
      type: "unreachable",
      sent: !CONNECT_ERRORS.has(code),
      message,
    });
  }
  const body = parseJson(response.body);
  const value = schema.safeParse(body);
  if (value.success) return Right(value.data);
  const refusal = Refusal.safeParse(body);
  if (refusal.success) return Left({ type: "refused", refusal: refusal.data });
  const message = `The response with status ${response.statusCode} is invalid.`;
  return Left({ type: "invalid-response", message });
}

function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}
