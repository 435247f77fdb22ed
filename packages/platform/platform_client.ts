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
  /** Time at which the platform observed the state, in milliseconds. */
  timeMs: z.int().min(0),
  /** Time of the host's last start in milliseconds, if the platform knows. */
  bootedAtMs: z.int().min(0).optional(),
});

/** Entry of the platform's host list. */
export type ListedHost = z.infer<typeof ListedHost>;

/** Outcome of a read of the host list. */
export type HostListOutcome =
  | { type: "read"; hosts: readonly ListedHost[] }
  | { type: "unreachable"; reason: string };

/** Outcome of a request to restart a host. */
export type RebootOutcome =
  | { type: "accepted" }
  /** The platform may have accepted it; asking again is harmless. */
  | { type: "unknown"; reason: string };

/** What to append to a stream. */
export type Append = { stream: Stream; id: string; body: unknown };

/** Which part of a stream to read. */
export type Read = {
  stream: Stream;
  from: number;
  limit: number;
  /** Longest time in milliseconds that the log waits for a new record. */
  waitMs: number;
};

/** Client of the platform's log and host list. */
export type PlatformClient = {
  append(append: Append): Promise<AppendOutcome>;
  read(read: Read, signal?: AbortSignal): Promise<ReadOutcome>;
  readHosts(): Promise<HostListOutcome>;
  /**
   * Asks the platform to restart a host. The platform restarts it once for each
   * id, however often it is asked.
   */
  rebootHost(host: string, id: string): Promise<RebootOutcome>;
  /** Closes idle connections. */
  close(): void;
};

/** Options of {@linkcode createPlatformClient}. */
export type PlatformClientOptions = {
  /** Longest time in milliseconds for an append or a read without waiting. */
  timeoutMs: number;
  /** Address of the host list, if it is not the log's. */
  hostsAddress?: string;
};

const Appended = z.object({
  offset: z.int().min(0),
  timeMs: z.int().min(0),
});

const HostList = z.object({ hosts: z.array(ListedHost) });

/**
 * Error codes that mean that no connection came about, so that nothing was
 * sent.
 */
const NOT_CONNECTED = new Set([
  "ECONNREFUSED",
  "EHOSTUNREACH",
  "ENETUNREACH",
  "EADDRNOTAVAIL",
]);

/**
 * Creates a client of the platform. No call throws; an append whose answer is
 * lost has the outcome `unknown`, since the log may have taken the record.
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
  const lastList: LastHostList = { etag: undefined, hosts: [] };
  return {
    append: (append) => appendRecord(client, append, { base }),
    read: (read, signal) =>
      readRecords(client, read, {
        base,
        timeoutMs: options.timeoutMs,
        ...(signal === undefined ? {} : { signal }),
      }),
    readHosts: () => readHostList(client, hostsBase, lastList),
    rebootHost: (host, id) => rebootHost(client, { host, id, base: hostsBase }),
    close: () => agent.destroy(),
  };
}

async function appendRecord(
  client: Got,
  append: Append,
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
    return isNotConnected(error)
      ? { type: "refused", reason }
      : { type: "unknown", reason };
  }
}

function appendOutcomeOf(status: number, body: string): AppendOutcome {
  if (status === 200 || status === 201) {
    const answer = Appended.safeParse(parseJson(body));
    if (answer.success) return { type: "appended", ...answer.data };
    return { type: "unknown", reason: "The log's answer is malformed." };
  }
  const reason = `The log answered with status ${status}.`;
  // The log states with 4xx and 503 that it did not take the record; behind
  // any other status, a gateway may have lost the log's own answer.
  const isRefused = (status >= 400 && status < 500) || status === 503;
  return { type: isRefused ? "refused" : "unknown", reason };
}

async function readRecords(
  client: Got,
  read: Read,
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

/** Last complete host list and its entity tag, if it had one. */
type LastHostList = { etag: string | undefined; hosts: readonly ListedHost[] };

/**
 * Reads the host list if it differs from the last one: the list of 3,600 hosts
 * each second would take 200 KB/s.
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
    const list = HostList.safeParse(parseJson(response.body));
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

function isNotConnected(error: unknown): boolean {
  return error instanceof RequestError && NOT_CONNECTED.has(error.code);
}

function reasonOf(error: unknown): string {
  return error instanceof Error ? error.message : String(error);
}
