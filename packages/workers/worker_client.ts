/**
 * HTTP client of the agents that run tasks on the workers.
 *
 * @module
 */

import type { WorkerCall, WorkerOutcome } from "@lagoonloom/decisions";
import got, { type Got, RequestError } from "got";
import { Agent } from "node:http";
import { z } from "zod";

/** Below the 5 s after which HTTP servers usually close idle connections. */
const IDLE_TIMEOUT_MS = 4_000;

/** Largest response that is read. */
const MAX_REPORT_BYTES = 262_144;

/** Codes of errors before a connection exists, so that nothing was sent. */
const CONNECT_FAILURES = new Set([
  "ECONNREFUSED",
  "EHOSTUNREACH",
  "ENETUNREACH",
]);

/** State of a task as its worker reports it. */
const TaskState = z.enum([
  "running",
  "throttled",
  "succeeded",
  "failed",
  "stopped",
  "expired",
]);

/** Body of the answer to a call about a task. */
const TaskReply = z.object({ state: TaskState });

const ReportedTask = z.object({
  job: z.string().max(100),
  attempt: z.int().min(0),
  state: TaskState,
  used: z.object({
    cores: z.number().min(0),
    memory_gb: z.number().min(0),
    accelerators: z.number().min(0),
  }),
  startedAtMs: z.number(),
  throttledAtMs: z.number().optional(),
  checkpointedAtMs: z.number().optional(),
});

/** Schema of a worker's report, the body of `GET /v1/report`. */
export const Report = z.object({
  clockMs: z.number(),
  takenAtMs: z.number(),
  tasks: z.array(ReportedTask).max(1_000),
});

/** Client of the workers' agents. */
export type WorkerClient = {
  /** Sends a call once; failures are outcomes, not exceptions. */
  call(address: string, call: WorkerCall): Promise<WorkerOutcome>;
  /** Closes idle connections. */
  close(): void;
};

/** Options of {@linkcode createWorkerClient}. */
export type WorkerClientOptions = {
  /** Timeout of a call in milliseconds. */
  timeoutMs: number;
  /** Most connections to one worker; 2 by default. */
  maxConnections?: number;
};

/**
 * Creates a client of the workers' agents. It never retries a call. Without an
 * answer the outcome is `unknown`, and the worker's next report shows whether
 * the call took effect.
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
    timeout: IDLE_TIMEOUT_MS,
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
    call: (address, call) => sendCall(http, address, call),
    close: () => agent.destroy(),
  };
}

async function sendCall(
  http: Got,
  address: string,
  call: WorkerCall,
): Promise<WorkerOutcome> {
  try {
    const { method, path, json } = encodeCall(call);
    const request = http(`http://${address}${path}`, {
      method,
      ...(json === undefined ? {} : { json }),
    });
    void request.on("downloadProgress", ({ transferred }) => {
      if (transferred > MAX_REPORT_BYTES) request.cancel();
    });
    const { statusCode, body } = await request;
    return decodeReply(call, statusCode, body);
  } catch (error) {
    const reason = error instanceof Error ? error.message : String(error);
    const isSent = !(error instanceof RequestError) ||
      !CONNECT_FAILURES.has(error.code);
    return { type: isSent ? "unknown" : "unreachable", reason };
  }
}

type Request = { method: "GET" | "POST"; path: string; json?: object };

function encodeCall(call: WorkerCall): Request {
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

function decodeReply(
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
  const reply = TaskReply.safeParse(json);
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
