import { afterEach, beforeEach, describe, expect, test } from "@jest/globals";
import type { WorkerCall } from "@lagoonloom/decisions";
import { serveWorker, type WorkerStandin } from "@lagoonloom/standins";
import { createWorkerClient, type WorkerClient } from "./worker_client.ts";

const size = { cores: 1, memory_gb: 1, accelerators: 0 };
let standin: WorkerStandin;
let client: WorkerClient;

beforeEach(async () => {
  standin = await serveWorker("127.0.0.1:0");
  client = createWorkerClient({ timeoutMs: 2_000 });
});

afterEach(async () => {
  client.close();
  await standin.close();
});

const call = (call: WorkerCall) => client.call(standin.address, call);
const fencedTask = (attempt: number, epoch = 1) => ({
  worker: "w",
  job: "a/b",
  attempt,
  epoch,
});
const start = (attempt: number, epoch = 1): WorkerCall => ({
  type: "start",
  ...fencedTask(attempt, epoch),
  leaseEndMs: Date.now() + 60_000,
  startByMs: Date.now() + 5_000,
  size,
});

describe("createWorkerClient", () => {
  // Guards against starting a task twice and against effects of calls with an
  // outdated attempt or epoch.
  test("returns the worker's decision about attempts and epochs", async () => {
    const steps: [WorkerCall, object][] = [
      [{ ...start(2), startByMs: 1 } as WorkerCall, { type: "refused" }],
      [{ ...start(2), leaseEndMs: 1 } as WorkerCall, { type: "refused" }],
      [start(2), { type: "done", state: "running" }],
      [start(2), { type: "done", state: "running" }],
      [start(1), { type: "refused" }],
      [{ type: "throttle", ...fencedTask(2) }, { state: "throttled" }],
      [{ type: "checkpoint", ...fencedTask(2, 2) }, { state: "throttled" }],
      [{ type: "stop", ...fencedTask(2, 1) }, { type: "refused" }],
      [{ type: "stop", ...fencedTask(1, 2) }, { type: "refused" }],
      [{ type: "stop", ...fencedTask(3, 2) }, { state: "stopped" }],
      [start(3, 2), { state: "stopped" }],
      [{ type: "renew", worker: "w", epoch: 1, leaseEndMs: 1 }, {
        type: "refused",
      }],
    ];
    for (const [step, expected] of steps) {
      expect(await call(step)).toMatchObject(expected);
    }
    expect(await call({ type: "report", worker: "w" })).toMatchObject({
      type: "report",
      report: { tasks: [{ job: "a/b", attempt: 3, state: "stopped" }] },
    });
  });

  // Guards against treating a call whose answer was lost as not executed.
  test("distinguishes lost answers from calls that were not sent", async () => {
    standin.loseAnswers(1);
    expect(await call(start(1))).toMatchObject({ type: "unknown" });
    expect(standin.tasks.get("a/b")?.state).toBe("running");
    await standin.close();
    expect(await call(start(1))).toMatchObject({ type: "unreachable" });
    standin = await serveWorker("127.0.0.1:0");
  });

  // Guards against a task that runs longer than its lease.
  test("reports a task as expired after its lease", async () => {
    const leaseEndMs = Date.now() + 50;
    await call({ ...start(1), leaseEndMs } as WorkerCall);
    await new Promise((resolve) => setTimeout(resolve, 80));
    expect(await call({ type: "report", worker: "w" })).toMatchObject({
      report: { tasks: [{ state: "expired" }] },
    });
  });
});
