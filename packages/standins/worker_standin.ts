import { z } from "zod";
import {
  listen,
  readJson,
  sendJson,
  type Standin,
  urlOf,
  withErrors,
} from "./_http.ts";

/** Task of a worker agent. */
export type WorkerTask = {
  id: string;
  leaseEpoch: number;
  state: "running" | "throttled" | "stopped" | "failed";
  cores: number;
  memoryGb: number;
  checkpointedAtMs: number | undefined;
};

/** Agent of a worker. */
export type WorkerStandin = Standin & {
  tasks: Map<string, WorkerTask>;
  /** Makes every further task fail at its start. */
  setFailing(isFailing: boolean): void;
};

/** Options of {@linkcode serveWorker}. */
export type WorkerOptions = {
  /** Age of the usage in reports in milliseconds. */
  reportLagMs?: number;
};

const TaskRequest = z.object({
  id: z.string(),
  leaseEpoch: z.int().min(0),
  cores: z.number().min(0).default(1),
  memoryGb: z.number().min(0).default(1),
});

const Lease = z.object({ leaseEpoch: z.int().min(0) });

const TASK_PATH = /^\/v1\/tasks\/([^/]+)\/(throttle|checkpoint|stop)$/;

/**
 * Serves a worker agent over HTTP: `POST /v1/tasks`,
 * `/v1/tasks/ID/throttle`, `/checkpoint`, `/stop` and `GET /v1/report`. A call
 * with an older lease epoch than the task's is answered with 409.
 *
 * @example
 * ```ts
 * const worker = await serveWorker("127.0.0.1:0");
 * ```
 */
export async function serveWorker(
  address: string,
  options: WorkerOptions = {},
): Promise<WorkerStandin> {
  const tasks = new Map<string, WorkerTask>();
  const reports: { timeMs: number; tasks: WorkerTask[] }[] = [];
  let isFailing = false;
  function report(): { timeMs: number; tasks: WorkerTask[] } {
    const nowMs = Date.now();
    reports.push({
      timeMs: nowMs,
      tasks: structuredClone([...tasks.values()]),
    });
    const visible = reports.filter((it) =>
      it.timeMs <= nowMs - (options.reportLagMs ?? 0)
    );
    reports.splice(0, Math.max(0, visible.length - 1));
    return visible.at(-1) ?? { timeMs: nowMs, tasks: [] };
  }
  function start(request: z.infer<typeof TaskRequest>): number {
    const known = tasks.get(request.id);
    if (known !== undefined && known.leaseEpoch > request.leaseEpoch) {
      return 409;
    }
    tasks.set(request.id, {
      ...request,
      state: isFailing ? "failed" : "running",
      checkpointedAtMs: undefined,
    });
    return 201;
  }
  function act(id: string, action: string, leaseEpoch: number): number {
    const task = tasks.get(id);
    if (task === undefined) return 404;
    if (task.leaseEpoch > leaseEpoch) return 409;
    task.leaseEpoch = leaseEpoch;
    if (action === "throttle") task.state = "throttled";
    if (action === "stop") task.state = "stopped";
    if (action === "checkpoint") task.checkpointedAtMs = Date.now();
    return 200;
  }
  const listener = withErrors(async (request, response) => {
    const { pathname } = urlOf(request);
    if (pathname === "/v1/report") return sendJson(response, 200, report());
    const body = await readJson(request);
    if (pathname === "/v1/tasks") {
      return sendJson(response, start(TaskRequest.parse(body)), {});
    }
    const match = TASK_PATH.exec(pathname);
    if (match === null) return sendJson(response, 404, {});
    const { leaseEpoch } = Lease.parse(body);
    sendJson(response, act(match[1]!, match[2]!, leaseEpoch), {});
  });
  return {
    ...await listen(listener, address),
    tasks,
    setFailing: (value) => {
      isFailing = value;
    },
  };
}
