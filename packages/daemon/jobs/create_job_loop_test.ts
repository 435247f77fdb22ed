import { afterEach, describe, expect, test } from "@jest/globals";
import type { PlannedRecord } from "@lagoonloom/decisions";
import { serveWorker } from "@lagoonloom/standins";
import { createJobSet } from "@lagoonloom/standins/jobs";
import { createEventLog } from "@lagoonloom/telemetry";
import { createWorkerClient } from "@lagoonloom/workers";
import { createControlFold } from "../control_fold.ts";
import { createJobLoop } from "./create_job_loop.ts";
import { cancelJob, listJobs, submitJob } from "./job_requests.ts";

const IDENTITY = { holder: "e1", incarnation: "i1" };

const closers: (() => unknown)[] = [];

afterEach(async () => {
  for (const close of closers.splice(0)) await close();
});

async function start() {
  const worker = await serveWorker("127.0.0.1:0");
  const workers = createWorkerClient({ timeoutMs: 1_000 });
  closers.push(workers.close, worker.close);
  const fold = createControlFold();
  const status = { isFresh: true };
  const append = async ({ id, body }: Omit<PlannedRecord, "body"> & {
    body: unknown;
  }) => {
    const offset = fold.state().nextOffset;
    fold.fold([{ offset, id, timeMs: Date.now(), body }]);
    const { outcome } = fold.state().outcomes.get(id)!;
    return { type: "folded" as const, outcome, offset };
  };
  const set = createJobSet({
    dataCentres: ["detroit"],
    workers: 1,
    cores: 16,
    memoryGb: 32,
  });
  set.hosts["main-1"]!.worker_address = worker.address;
  const change = { put: set, removed: [] };
  const member = { member: "e1", incarnation: "i1", dataCentre: "detroit" };
  const addresses = { peerAddress: "", operatorAddress: "" };
  for (
    const body of [
      { type: "set.changed", expectedVersion: 0, change, operator: "ana" },
      { type: "member.joined", ...member, ...addresses },
      {
        type: "decider.claimed",
        scope: "detroit",
        ...IDENTITY,
        epoch: 1,
        leaseMs: 60_000,
      },
    ]
  ) await append({ id: body.type, body });
  const loop = createJobLoop({
    name: "e1",
    incarnation: () => "i1",
    fold,
    isReady: () => true,
    logIsFresh: () => status.isFresh,
    hasMemberRights: () => true,
    memberOffset: () => undefined,
    append,
    workers,
    events: createEventLog({ format: "hidden" }),
  });
  const timer = setInterval(() => loop.tick(performance.now()), 20);
  closers.unshift(() => clearInterval(timer));
  const platform = {
    append: async (record: { id: string; body: unknown }) => {
      const { offset } = await append(record);
      return { type: "appended" as const, offset, timeMs: Date.now() };
    },
  };
  return { worker, fold, status, options: { platform, fold, waitMs: 1_000 } };
}

const JOB = {
  requestId: "r1",
  job: "j1",
  team: "team-1",
  urgency: "urgent" as const,
  cores: 1,
  memory_gb: 1,
  accelerators: 0,
  run_s: 60,
  data_centres: [],
  operator: "ana",
};

async function until(isTrue: () => boolean): Promise<void> {
  while (!isTrue()) await new Promise((resolve) => setTimeout(resolve, 10));
}

describe("createJobLoop", () => {
  // Guards against wiring in which placed jobs don't start, cancelled jobs keep
  // running, or leases are not renewed while the log can't be read.
  test("starts a task, renews its lease without the log, and stops it", async () => {
    const { worker, fold, status, options } = await start();
    const accepted = { type: "accepted", job: "j1" };
    expect(await submitJob(JOB, options)).toMatchObject(accepted);
    expect(await submitJob(JOB, options)).toMatchObject(accepted);
    await until(() => worker.tasks.get("j1")?.state === "running");
    expect(listJobs("running", fold).jobs)
      .toMatchObject([{ job: "j1", worker: "main-1", attempt: 1 }]);
    status.isFresh = false;
    const { leaseEndMs } = worker.tasks.get("j1")!;
    await submitJob({ ...JOB, requestId: "r2", job: "j2" }, options);
    await until(() => worker.tasks.get("j1")!.leaseEndMs > leaseEndMs + 1_000);
    expect(fold.state().jobs.get("j2")?.state).toBe("queued");
    status.isFresh = true;
    const cancel = { job: "j1", requestId: "c1", operator: "ana" };
    expect(await cancelJob(cancel, options)).toMatchObject(accepted);
    await until(() => worker.tasks.get("j1")?.state === "stopped");
    await until(() => worker.tasks.get("j2")?.state === "running");
  });
});
