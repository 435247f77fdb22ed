/**
 * RPC client for the members that own partitions of jobs.
 *
 * @module
 */

import type { MessageInitShape } from "@bufbuild/protobuf";
import { Code, ConnectError } from "@connectrpc/connect";
import { setTimeout as sleep } from "node:timers/promises";
import { type CallTimeout, createCallTimes } from "./call_times.ts";
import {
  type ConfigurationRequestSchema,
  type ConfigurationResponse,
  type CountPendingRequestSchema,
  type CountPendingResponse,
  type LimitRequestSchema,
  type LimitResponse,
  type ReachResponse,
  type RelayRequestSchema,
  type RelayResponse,
  type ReportRequestSchema,
  type ReportResponse,
  type ShowRequestSchema,
  type ShowResponse,
} from "./gen/lagoonloom/peers/v1/owners_pb.ts";
import {
  createMemberConnection,
  type MemberConnection,
} from "./member_connection.ts";
import { createSilenceCheck } from "./silence_check.ts";

/**
 * Time that the connection in use has to answer a check after another one has
 * answered it.
 */
const MAX_LAG_MS = 300;

/** Call between members that failed. */
export type CallFailure = {
  /** Name of the RPC. */
  call: string;
  /** Partition that the call is about; undefined if it is about none. */
  partition: number | undefined;
  /** Job that the call is about; undefined if it is about none. */
  job: string | undefined;
  /** Code of the RPC status, for example `deadline_exceeded`. */
  code: string;
  reason: string;
  tookMs: number;
  /** Time that the call had. */
  timeoutMs: number;
  /**
   * State of the connection at the end of the call: `connecting` if it was not
   * established yet, else `open`, `idle`, `closed` or `error`.
   */
  connection: string;
  /** Time since the member's last answer; undefined if there was none. */
  silentMs: number | undefined;
};

/** Client of one member; calls resolve with undefined if they fail. */
export type OwnerClient = {
  /** Returns the state of a job. */
  show(
    request: MessageInitShape<typeof ShowRequestSchema>,
    timeout: CallTimeout,
  ): Promise<ShowResponse | undefined>;
  /** Returns the number of accepted jobs of a queue that have not started. */
  countPending(
    request: MessageInitShape<typeof CountPendingRequestSchema>,
    timeout: CallTimeout,
  ): Promise<CountPendingResponse | undefined>;
  /** Reserves executors for maintenance; returns what runs on them. */
  report(
    request: MessageInitShape<typeof ReportRequestSchema>,
    timeout: CallTimeout,
  ): Promise<ReportResponse | undefined>;
  /** Asks the member to write a record to the store for this one. */
  relay(
    request: MessageInitShape<typeof RelayRequestSchema>,
    timeout: CallTimeout,
  ): Promise<RelayResponse | undefined>;
  /** Sets what tasks of each organisation a partition's owner may run. */
  limit(
    request: MessageInitShape<typeof LimitRequestSchema>,
    timeout: CallTimeout,
  ): Promise<LimitResponse | undefined>;
  /** Returns whether the member can reach the store. */
  reach(timeout: CallTimeout): Promise<ReachResponse | undefined>;
  /** Returns the member's configuration and how old it is. */
  configuration(
    request: MessageInitShape<typeof ConfigurationRequestSchema>,
    timeout: CallTimeout,
  ): Promise<ConfigurationResponse | undefined>;
  /** Whether the last call was answered; true before the first one. */
  isAnswering(): boolean;
  /** Ends the connection; calls in progress fail. */
  close(): void;
};

/**
 * Creates a client of another member. A connection on which calls get no
 * answer is replaced once another one is answered, as it might never be
 * reported as closed.
 * Failed calls are passed to `onFailure`; `onAnswer` is called after each
 * answer.
 *
 * @example
 * ```ts
 * const owner = createOwnerClient("127.0.0.1:7060", { onFailure });
 * const answer = await owner.show({ partition: 3, job: id }, 500);
 * ```
 */
export function createOwnerClient(
  address: string,
  { onFailure, onAnswer }: {
    onFailure(failure: CallFailure): void;
    onAnswer?(): void;
  },
): OwnerClient {
  let connection = createMemberConnection(address);
  const silence = createSilenceCheck<MemberConnection>({
    async tryAnother(timeoutMs) {
      const other = createMemberConnection(address);
      const isUsedAnswered = isReached(connection, timeoutMs);
      const isOtherAnswered = await isReached(other, timeoutMs);
      // The calls in progress may only be slow.
      const late = sleep(MAX_LAG_MS).then(() => false);
      const isBetter = isOtherAnswered &&
        !await Promise.race([isUsedAnswered, late]);
      if (isBetter) return other;
      other.retire();
      return undefined;
    },
    replace(other) {
      connection.retire();
      connection = other;
    },
  });
  const times = createCallTimes();
  let answeredAtMs: number | undefined;
  let isAnswering = true;
  const callMember = async <Response>(
    call: string,
    send: (
      client: MemberConnection["client"],
      options: { timeoutMs: number },
    ) => Promise<Response>,
    { partition, job, timeout }: {
      partition?: number | undefined;
      job?: string | undefined;
      timeout: CallTimeout;
    },
  ): Promise<Response | undefined> => {
    const timeoutMs = times.next(call, timeout);
    const sentAtMs = performance.now();
    const used = connection;
    silence.noteCall();
    try {
      const response = await send(used.client, { timeoutMs });
      answeredAtMs = performance.now();
      const tookMs = answeredAtMs - sentAtMs;
      silence.noteAnswer(tookMs);
      times.noteAnswer(call, tookMs);
      isAnswering = true;
      onAnswer?.();
      return response;
    } catch (error) {
      const nowMs = performance.now();
      const { code, message } = ConnectError.from(error);
      isAnswering = false;
      if (code === Code.DeadlineExceeded) times.noteTimeout(call, timeoutMs);
      onFailure({
        call,
        partition,
        job,
        code: formatCode(code),
        reason: message,
        tookMs: nowMs - sentAtMs,
        timeoutMs,
        connection: used.state(),
        silentMs: answeredAtMs === undefined ? undefined : nowMs - answeredAtMs,
      });
      return undefined;
    }
  };
  return {
    show: (request, timeout) =>
      callMember("show", (client, options) => client.show(request, options), {
        ...subjectOf(request),
        timeout,
      }),
    countPending: (request, timeout) =>
      callMember(
        "countPending",
        (client, options) => client.countPending(request, options),
        { ...subjectOf(request), timeout },
      ),
    report: (request, timeout) =>
      callMember(
        "report",
        (client, options) => client.report(request, options),
        {
          ...subjectOf(request),
          timeout,
        },
      ),
    relay: (request, timeout) =>
      callMember("relay", (client, options) => client.relay(request, options), {
        ...subjectOf({ partition: request.partition, job: request.key }),
        timeout,
      }),
    limit: (request, timeout) =>
      callMember("limit", (client, options) => client.limit(request, options), {
        ...subjectOf(request),
        timeout,
      }),
    reach: (timeout) =>
      callMember("reach", (client, options) => client.reach({}, options), {
        timeout,
      }),
    configuration: (request, timeout) =>
      callMember(
        "configuration",
        (client, options) => client.configuration(request, options),
        { timeout },
      ),
    isAnswering: () => isAnswering,
    close() {
      silence.close();
      connection.close();
    },
  };
}

/** Returns whether the member answers on a connection within a time. */
async function isReached(
  { client }: MemberConnection,
  timeoutMs: number,
): Promise<boolean> {
  try {
    await client.reach({}, { timeoutMs });
    return true;
  } catch {
    return false;
  }
}

/** Returns what a call is about, as its failure names it. */
function subjectOf(
  { partition, job }: {
    partition?: number | undefined;
    job?: string | undefined;
  },
): Pick<CallFailure, "partition" | "job"> {
  return { partition, job };
}

/** Formats the code of an RPC status as its protocol names it. */
function formatCode(code: Code): string {
  return Code[code].replace(/(?!^)[A-Z]/g, "_$&").toLowerCase();
}
