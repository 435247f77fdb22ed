/**
 * Stand-in of a worker agent, which runs the tasks of jobs on a host.
 *
 * @module
 */

import { z } from "zod";
import {
  listen,
  parseUrl,
  readJson,
  sendJson,
  type Standin,
  withErrorHandling,
} from "./_http.ts";
import {
  createWorkerTasks,
  type WorkerTask,
  type WorkerTasksOptions,
} from "./worker_tasks.ts";

/** Running worker agent. */
export type WorkerStandin = Standin & {
  /** Latest task of each job. */
  tasks: Map<string, WorkerTask>;
  /** Sets whether further tasks fail right after their start. */
  setFailing(isFailing: boolean): void;
  /** Closes the connection after a number of further calls took effect. */
  loseAnswers(count: number): void;
};

/** Options of {@linkcode serveWorker}. */
export type WorkerOptions = Partial<WorkerTasksOptions> & {
  /** Run time of a task in milliseconds; one hour by default. */
  runMs?: number;
};

/** Attempt and epoch of a call, by which the worker fences outdated ones. */
const AttemptToken = z.object({
  job: z.string(),
  attempt: z.int().min(0),
  epoch: z.int().min(0),
});

const Start = AttemptToken.extend({
  leaseEndMs: z.number(),
  startByMs: z.number(),
  size: z.object({
    cores: z.number().min(0),
    memory_gb: z.number().min(0),
    accelerators: z.int().min(0),
  }),
});

const Lease = z.object({ epoch: z.int().min(0), leaseEndMs: z.number() });

const TASK_PATH = /^\/v1\/tasks\/([^/]+)\/(throttle|checkpoint|stop)$/;

/**
 * Starts a worker agent over HTTP. `POST /v1/tasks` starts a task,
 * `/v1/tasks/ID/throttle`, `/checkpoint` and `/stop` act on it,
 * `POST /v1/leases` renews the leases of all tasks and `GET /v1/report` returns
 * a report. A call with an older attempt or epoch than one that the worker has
 * seen is answered with 409.
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
  let isFailing = false;
  let responsesToDrop = 0;
  const worker = createWorkerTasks({
    chooseBehaviour: ({ size }) => ({
      used: size,
      willFail: isFailing,
      runMs: isFailing ? 0 : options.runMs ?? 3_600_000,
    }),
    ...options,
  });
  const answer = (path: string, body: unknown) => {
    const nowMs = Date.now();
    if (path === "/v1/report") return [200, worker.report(nowMs)] as const;
    if (path === "/v1/leases") {
      const status = worker.renew(Lease.parse(body), nowMs);
      return [status, worker.report(nowMs)] as const;
    }
    if (path === "/v1/tasks") {
      const { status, state } = worker.start(Start.parse(body), nowMs);
      return [status, { state }] as const;
    }
    const match = TASK_PATH.exec(path);
    if (match === null) return [404, {}] as const;
    const job = decodeURIComponent(match[1]!);
    const type = match[2] as "throttle" | "checkpoint" | "stop";
    const fence = AttemptToken.parse({ ...body as object, job });
    const { status, state } = worker.applyAction({ ...fence, type }, nowMs);
    return [status, { state }] as const;
  };
  const listener = withErrorHandling(async (request, response) => {
    const body = await readJson(request);
    const [status, reply] = answer(parseUrl(request).pathname, body);
    if (responsesToDrop > 0) {
      responsesToDrop--;
      response.destroy();
      return;
    }
    sendJson(response, status, reply);
  });
  return {
    ...await listen(listener, address),
    tasks: worker.tasks,
    setFailing: (value) => {
      isFailing = value;
    },
    loseAnswers: (count) => {
      responsesToDrop = count;
    },
  };
}
