import type { WorkerCall, WorkerOutcome } from "@lagoonloom/decisions";
import got, { type Got, RequestError } from "got";
import { Agent } from "node:http";
import { z } from "zod";

/** Idle connections are closed before the usual 5 s of HTTP servers. */
const IDLE_CONNECTION_MS = 4_000;

/** Largest report that is read, in bytes. */
const MAX_REPORT_BYTES = 262_144;

/** Error codes after which provably nothing was sent. */
const NOT_SENT = new Set(["ECONNREFUSED", "EHOSTUNREACH", "ENETUNREACH"]);

const State = z.enum([
  "running",
  "throttled",
  "succeeded",
  "failed",
  "stopped",
  "expired",
]);

const Reply = z.object({ state: State });

const ReportedTask = z.object({
  job: z.string().max(100),
  attempt: z.int().min(0),
  state: State,
  used: z.object({
    cores: z.number().min(0),
    memory_gb: z.number().min(0),
    accelerators: z.number().min(0),
  }),
  startedAtMs: z.number(),
  throttledAtMs: z.number().optional(),
  checkpointedAtMs: z.number().optional(),
});

/** Schema of a worker's report: body of `GET /v1/report`. */
export const Report = z.object({
  clockMs: z.number(),
  takenAtMs: z.number(),
  tasks: z.array(ReportedTask).max(1_000),
});

/** Client of the workers' agents. */
export type WorkerClient = {
  /** Makes a call once; failures are outcomes, not exceptions. */
  call(address: string, call: WorkerCall): Promise<WorkerOutcome>;
  /** Closes idle connections. */
  close(): void;
};

/** Options of {@linkcode createWorkerClient}. */
export type WorkerClientOptions = {
  /** Longest time for a call in milliseconds. */
  timeoutMs: number;
  /** Connections to one worker. */
  maxConnections?: number;
};

/**
 * Creates a client of the workers' agents. It never repeats a call: after a
 * lost answer the outcome is `unknown`, and the report tells what became of it.
 *
 * @example
 * ```ts
 * const workers = createWorkerClient({ timeoutMs: 2_000 });
 * const outcome = await workers.call(address, { type: "report", worker });
 * ```
 */
export function createWorkerClient(options: WorkerClientOptions): WorkerClient {
  const agent = new Agent({
    keepAlive: true,
    timeout: IDLE_CONNECTION_MS,
    maxSockets: options.maxConnections ?? 2,
  });
  const http = got.extend({
    agent: { http: agent },
    timeout: { request: options.timeoutMs },
    retry: { limit: 0 },
    followRedirect: false,
    throwHttpErrors: false,
    decompress: false,
    headers: { "user-agent": undefined },
  });
  return {
    call: (address, call) => exchange(http, address, call),
    close: () => agent.destroy(),
  };
}

async function exchange(
  http: Got,
  address: string,
  call: WorkerCall,
): Promise<WorkerOutcome> {
  try {
    const { method, path, json } = toRequest(call);
    const request = http(`http://${address}${path}`, {
      method,
      ...(json === undefined ? {} : { json }),
    });
    void request.on("downloadProgress", ({ transferred }) => {
      if (transferred > MAX_REPORT_BYTES) request.cancel();
    });
    const { statusCode, body } = await request;
    return readReply(call, statusCode, body);
  } catch (error) {
    const reason = error instanceof Error ? error.message : String(error);
    const isSent = !(error instanceof RequestError) ||
      !NOT_SENT.has(error.code);
    return { type: isSent ? "unknown" : "unreachable", reason };
  }
}

type Request = { method: "GET" | "POST"; path: string; json?: object };

function toRequest(call: WorkerCall): Request {
  switch (call.type) {
    case "report":
      return { method: "GET", path: "/v1/report" };
    case "renew": {
      const { epoch, leaseEndMs } = call;
      const json = { epoch, leaseEndMs };
      return { method: "POST", path: "/v1/leases", json };
    }
    case "start": {
      const { job, attempt, epoch, leaseEndMs, startByMs, size } = call;
      const json = { job, attempt, epoch, leaseEndMs, startByMs, size };
      return { method: "POST", path: "/v1/tasks", json };
    }
    default: {
      const { type, job, attempt, epoch } = call;
      const path = `/v1/tasks/${encodeURIComponent(job)}/${type}`;
      return { method: "POST", path, json: { job, attempt, epoch } };
    }
  }
}

function readReply(
  call: WorkerCall,
  status: number,
  body: string,
): WorkerOutcome {
  if (status === 404 || status === 409) {
    return { type: "refused", reason: `the worker answered ${status}` };
  }
  const json = parseJson(body);
  if (call.type === "report" || call.type === "renew") {
    const report = Report.safeParse(json);
    return status === 200 && report.success
      ? { type: "report", report: report.data }
      : { type: "unknown", reason: `status ${status} without a report` };
  }
  const reply = Reply.safeParse(json);
  return (status === 200 || status === 201) && reply.success
    ? { type: "done", state: reply.data.state }
    : { type: "unknown", reason: `status ${status} without a state` };
}

function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}
