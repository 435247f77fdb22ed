/**
 * RPC client for the members that own partitions of jobs.
 *
 * @module
 */

import type { MessageInitShape } from "@bufbuild/protobuf";
import { Code, ConnectError, createClient } from "@connectrpc/connect";
import {
  createConnectTransport,
  Http2SessionManager,
} from "@connectrpc/connect-node";
import { connect, type Socket } from "node:net";
import { type CallTimeout, createCallTimes } from "./call_times.ts";
import {
  type ConfigurationRequestSchema,
  type ConfigurationResponse,
  type CountPendingRequestSchema,
  type CountPendingResponse,
  type LimitRequestSchema,
  type LimitResponse,
  OwnerService,
  type ReachResponse,
  type RelayRequestSchema,
  type RelayResponse,
  type ReportRequestSchema,
  type ReportResponse,
  type ShowRequestSchema,
  type ShowResponse,
} from "./gen/lagoonloom/peers/v1/owners_pb.ts";
import { createSilenceCheck } from "./silence_check.ts";

/**
 * Time in which a connection has to be established. All calls to the member
 * share it, and the next packet after lost ones is sent only seconds later.
 */
const CONNECT_TIMEOUT_MS = 1_200;

/** Time without calls after which a connection is closed. */
const IDLE_TIMEOUT_MS = 60_000;

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
 * answer is checked and replaced, as it might never be reported as closed.
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
  const baseUrl = `http://${address}`;
  const sessionManager = new Http2SessionManager(
    baseUrl,
    // Not its pings: a call that ends stops the timer of any open one.
    { idleConnectionTimeoutMs: IDLE_TIMEOUT_MS },
    { createConnection: openSocket },
  );
  const client = createClient(
    OwnerService,
    createConnectTransport({
      baseUrl,
      httpVersion: "2",
      sessionManager,
      acceptCompression: [],
    }),
  );
  const silence = createSilenceCheck({
    async check(timeoutMs) {
      try {
        await client.reach({}, { timeoutMs });
        return false;
      } catch (error) {
        return ConnectError.from(error).code === Code.DeadlineExceeded;
      }
    },
    onSilent() {
      // A connection that is being opened has a time limit of its own.
      if (sessionManager.state() === "connecting") return;
      const reason = "the connection carries no answers";
      sessionManager.abort(new ConnectError(reason, Code.Unavailable));
    },
  });
  const times = createCallTimes();
  let answeredAtMs: number | undefined;
  let isAnswering = true;
  const callMember = async <Response>(
    call: string,
    send: (options: { timeoutMs: number }) => Promise<Response>,
    { partition, job, timeout }: {
      partition?: number | undefined;
      job?: string | undefined;
      timeout: CallTimeout;
    },
  ): Promise<Response | undefined> => {
    const timeoutMs = times.next(call, timeout);
    const sentAtMs = performance.now();
    silence.noteCall();
    try {
      const response = await send({ timeoutMs });
      answeredAtMs = performance.now();
      silence.noteAnswer();
      times.noteAnswer(call, answeredAtMs - sentAtMs);
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
        connection: sessionManager.state(),
        silentMs: answeredAtMs === undefined ? undefined : nowMs - answeredAtMs,
      });
      return undefined;
    }
  };
  return {
    show: (request, timeout) =>
      callMember("show", (options) => client.show(request, options), {
        ...subjectOf(request),
        timeout,
      }),
    countPending: (request, timeout) =>
      callMember(
        "countPending",
        (options) => client.countPending(request, options),
        { ...subjectOf(request), timeout },
      ),
    report: (request, timeout) =>
      callMember("report", (options) => client.report(request, options), {
        ...subjectOf(request),
        timeout,
      }),
    relay: (request, timeout) =>
      callMember("relay", (options) => client.relay(request, options), {
        ...subjectOf({ partition: request.partition, job: request.key }),
        timeout,
      }),
    limit: (request, timeout) =>
      callMember("limit", (options) => client.limit(request, options), {
        ...subjectOf(request),
        timeout,
      }),
    reach: (timeout) =>
      callMember("reach", (options) => client.reach({}, options), { timeout }),
    configuration: (request, timeout) =>
      callMember(
        "configuration",
        (options) => client.configuration(request, options),
        { timeout },
      ),
    isAnswering: () => isAnswering,
    close() {
      silence.close();
      sessionManager.abort();
    },
  };
}

/** Opens a socket that is destroyed unless it is connected in time. */
function openSocket({ hostname, port }: URL): Socket {
  const socket = connect(Number(port), hostname);
  const timer = setTimeout(() => {
    const message = `not connected within ${CONNECT_TIMEOUT_MS} ms`;
    socket.destroy(Object.assign(new Error(message), { code: "ETIMEDOUT" }));
  }, CONNECT_TIMEOUT_MS);
  socket.once("connect", () => clearTimeout(timer));
  socket.once("close", () => clearTimeout(timer));
  return socket;
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
