/**
 * HTTP client of the platform's log and host list.
 *
 * @module
 */

import { Name } from "@lagoonloom/objects";
import type { Stream } from "@lagoonloom/records";
import got, { type Got, RequestError } from "got";
import { Agent } from "node:http";
import { z } from "zod";
import type { AppendOutcome } from "./append_outcome.ts";
import { LogPage, type ReadOutcome } from "./read_outcome.ts";

/** Schema of one entry of the platform's host list. */
export const ListedHost = z.object({
  host: Name,
  state: z.enum(["live", "leaving"]),
  /** Unix time at which the platform observed the state, in milliseconds. */
  timeMs: z.int().min(0),
  /** Unix time of the host's last boot in milliseconds, if it is known. */
  bootedAtMs: z.int().min(0).optional(),
});

/** Entry of the platform's host list. */
export type ListedHost = z.infer<typeof ListedHost>;

/** Outcome of a read of the host list. */
export type HostListOutcome =
  | { type: "read"; hosts: readonly ListedHost[] }
  | { type: "unreachable"; reason: string };

/** Outcome of a request to reboot a host. */
export type RebootOutcome =
  | { type: "accepted" }
  /** The platform may have accepted it; a retry with the same id is safe. */
  | { type: "unknown"; reason: string };

/** Record to append to a stream. */
export type AppendRequest = { stream: Stream; id: string; body: unknown };

/** Range of a stream to read. */
export type ReadRequest = {
  stream: Stream;
  /** Offset of the first record. */
  from: number;
  /** Most records of the page. */
  limit: number;
  /** Longest time for which the log waits for a record, in milliseconds. */
  waitMs: number;
};

/** Client of the platform's log and host list. */
export type PlatformClient = {
  append(append: AppendRequest): Promise<AppendOutcome>;
  read(read: ReadRequest, signal?: AbortSignal): Promise<ReadOutcome>;
  readHosts(): Promise<HostListOutcome>;
  /** Requests a reboot of a host; requests with one id cause one reboot. */
  rebootHost(host: string, id: string): Promise<RebootOutcome>;
  /** Closes idle connections. */
  close(): void;
};

/** Options of {@linkcode createPlatformClient}. */
export type PlatformClientOptions = {
  /** Timeout of a request, beyond the `waitMs` of a read, in milliseconds. */
  timeoutMs: number;
  /** Address of the host list, if it differs from that of the log. */
  hostsAddress?: string;
};

const AppendReply = z.object({
  offset: z.int().min(0),
  timeMs: z.int().min(0),
});

const HostListReply = z.object({ hosts: z.array(ListedHost) });

/** Codes of errors before a connection exists, so that nothing was sent. */
const CONNECT_FAILURES = new Set([
  "ECONNREFUSED",
  "EHOSTUNREACH",
  "ENETUNREACH",
  "EADDRNOTAVAIL",
]);

/**
 * Creates a client of the platform. Its methods never throw. An append without
 * an answer has the outcome `unknown`, since the log may have stored the
 * record.
 *
 * @example
 * ```ts
 * const platform = createPlatformClient(address, { timeoutMs: 2_000 });
 * const outcome = await platform.append({ stream: "control", id, body });
 * ```
 */
export function createPlatformClient(
  address: string,
  options: PlatformClientOptions,
): PlatformClient {
  const agent = new Agent({ keepAlive: true });
  const client = got.extend({
    agent: { http: agent },
    retry: { limit: 0 },
    throwHttpErrors: false,
    followRedirect: false,
    responseType: "text",
    timeout: { request: options.timeoutMs },
  });
  const base = `http://${address}`;
  const hostsBase = `http://${options.hostsAddress ?? address}`;
  const lastHostList: LastHostList = { etag: undefined, hosts: [] };
  return {
    append: (append) => appendRecord(client, append, { base }),
    read: (read, signal) =>
      readRecords(client, read, {
        base,
        timeoutMs: options.timeoutMs,
        ...(signal === undefined ? {} : { signal }),
      }),
    readHosts: () => readHostList(client, hostsBase, lastHostList),
    rebootHost: (host, id) => rebootHost(client, { host, id, base: hostsBase }),
    close: () => agent.destroy(),
  };
}

async function appendRecord(
  client: Got,
  append: AppendRequest,
  options: { base: string },
): Promise<AppendOutcome> {
  try {
    const response = await client.post(
      `${options.base}/v1/streams/${append.stream}/records`,
      { json: { id: append.id, body: append.body } },
    );
    return appendOutcomeOf(response.statusCode, response.body);
  } catch (error) {
    const reason = reasonOf(error);
    return isConnectFailure(error)
      ? { type: "refused", reason }
      : { type: "unknown", reason };
  }
}

function appendOutcomeOf(status: number, body: string): AppendOutcome {
  if (status === 200 || status === 201) {
    const answer = AppendReply.safeParse(parseJson(body));
    if (answer.success) return { type: "appended", ...answer.data };
    return { type: "unknown", reason: "The log's answer is malformed." };
  }
  const reason = `The log answered with status ${status}.`;
  // With 4xx and 503 the log states that it did not store the record. Another
  // status may come from a gateway that lost the log's own answer.
  const isRefused = (status >= 400 && status < 500) || status === 503;
  return { type: isRefused ? "refused" : "unknown", reason };
}

async function readRecords(
  client: Got,
  read: ReadRequest,
  options: { base: string; timeoutMs: number; signal?: AbortSignal },
): Promise<ReadOutcome> {
  try {
    const response = await client.get(
      `${options.base}/v1/streams/${read.stream}/records`,
      {
        searchParams: {
          from: read.from,
          limit: read.limit,
          wait_ms: read.waitMs,
        },
        timeout: { request: options.timeoutMs + read.waitMs },
        ...(options.signal === undefined ? {} : { signal: options.signal }),
      },
    );
    if (response.statusCode !== 200) {
      return unreachable(`The log answered with ${response.statusCode}.`);
    }
    const page = LogPage.safeParse(parseJson(response.body));
    if (!page.success) return unreachable("The log's answer is malformed.");
    const isExpired = page.data.oldestOffset > read.from;
    return { type: isExpired ? "expired" : "read", page: page.data };
  } catch (error) {
    return unreachable(reasonOf(error));
  }
}

/** Last host list that was read, and its entity tag, if it had one. */
type LastHostList = { etag: string | undefined; hosts: readonly ListedHost[] };

/**
 * Reads the host list with a conditional request. Reading an unchanged list of
 * 3,600 hosts each second would take 200 KB/s.
 */
async function readHostList(
  client: Got,
  base: string,
  last: LastHostList,
): Promise<HostListOutcome> {
  try {
    const response = await client.get(`${base}/v1/hosts`, {
      headers: { "if-none-match": last.etag },
    });
    if (response.statusCode === 304 && last.etag !== undefined) {
      return { type: "read", hosts: last.hosts };
    }
    const list = HostListReply.safeParse(parseJson(response.body));
    if (response.statusCode === 200 && list.success) {
      last.etag = response.headers.etag;
      last.hosts = list.data.hosts;
      return { type: "read", hosts: list.data.hosts };
    }
    return unreachable(`The host list answered with ${response.statusCode}.`);
  } catch (error) {
    return unreachable(reasonOf(error));
  }
}

async function rebootHost(
  client: Got,
  { host, id, base }: { host: string; id: string; base: string },
): Promise<RebootOutcome> {
  try {
    const response = await client.post(
      `${base}/v1/hosts/${encodeURIComponent(host)}/reboot`,
      { json: { id } },
    );
    if (response.statusCode === 202) return { type: "accepted" };
    const reason = `The platform answered with ${response.statusCode}.`;
    return { type: "unknown", reason };
  } catch (error) {
    return { type: "unknown", reason: reasonOf(error) };
  }
}

function unreachable(reason: string): { type: "unreachable"; reason: string } {
  return { type: "unreachable", reason };
}

function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}

function isConnectFailure(error: unknown): boolean {
  return error instanceof RequestError && CONNECT_FAILURES.has(error.code);
}

function reasonOf(error: unknown): string {
  return error instanceof Error ? error.message : String(error);
}
