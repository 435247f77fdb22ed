import { describe, expect, test } from "@jest/globals";
import type { MemoryExecutor } from "@lagoonloom/standins";
import {
  advanceTime,
  createAccepted,
  createConfiguration,
  createStep,
  JOB_ID,
  NEXT_JOB_ID,
  type OwnerFixture,
  PARTITION,
  setUpOwners,
} from "../_fixtures.ts";
import { acceptJob } from "../accepted/accept_job.ts";
import type { Queue } from "../fleet.ts";
import type { Step } from "../submission.ts";

const TASK = `${JOB_ID}.0.0.0`;

/** Creates a queue of three attempts, with some fields replaced. */
function createQueue(fields: Partial<Queue> = {}): Queue {
  return createConfiguration(fields).queues[0]!;
}

describe("a job whose queue is not configured any more", () => {
  let fixture: OwnerFixture;
  setUpOwners((created) => fixture = created);

  const configure = (...queues: Queue[]) => {
    fixture.configuration = { ...fixture.configuration, queues };
  };

  /** Accepts a job as a member does whose configuration has the queue. */
  const accept = async (
    steps: Step[],
    { id = JOB_ID, queue = createQueue() } = {},
  ) => {
    const accepting = acceptJob(id, createAccepted(steps).submission, {
      store: fixture.store,
      layout: new Map([["quoting", [PARTITION]]]),
      queue,
      timeoutMs: 2_000,
      mayAppend: () => true,
      relay: () => Promise.resolve(undefined),
    });
    await advanceTime(300);
    expect(await accepting).toEqual({
      type: "stored",
      partition: PARTITION,
    });
  };

  const fail = async (executor: MemoryExecutor, times: number) => {
    for (let count = 0; count < times; count++) {
      executor.end(TASK, "failed");
      await advanceTime(1_000);
    }
  };

  // Guards against starts without end of a task that always fails (BUDGET).
  test("fails after the attempts of its queue", async () => {
    const executor = fixture.addExecutor("e1");
    const owner = await fixture.startOwner(1);
    await accept([createStep({ count: 1 })]);
    configure();
    await fail(executor, 6);
    expect(executor.starts).toHaveLength(3);
    expect(await owner.getJobState(JOB_ID))
      .toEqual({ type: "known", value: "failed" });
  });

  // Guards against the same starts by an owner that never knew the queue.
  test("fails after the attempts of its queue at the next owner", async () => {
    const executor = fixture.addExecutor("e1");
    const first = await fixture.startOwner(1);
    await accept([createStep({ count: 1 })]);
    await fail(executor, 1);
    first.close();
    configure();
    const second = await fixture.startOwner(2);
    await fail(executor, 6);
    expect(executor.starts).toHaveLength(3);
    expect(await second.getJobState(JOB_ID))
      .toEqual({ type: "known", value: "failed" });
  });

  // Guards against starts without end of a job that an earlier version stored.
  test("fails after some attempts if none are stored", async () => {
    const executor = fixture.addExecutor("e1");
    configure();
    fixture.accept(JOB_ID, [createStep({ count: 1 })]);
    await fixture.startOwner(1);
    await fail(executor, 10);
    expect(executor.starts).toHaveLength(3);
  });

  // Guards against an owner that forgets the attempts that it has known.
  test("fails after the attempts that its owner knew", async () => {
    const executor = fixture.addExecutor("e1");
    configure(createQueue({ maxFailures: 5 }));
    fixture.accept(JOB_ID, [createStep({ count: 1 })]);
    await fixture.startOwner(1);
    configure();
    await fail(executor, 10);
    expect(executor.starts).toHaveLength(5);
  });

  // Guards against a step that never runs: starts without a ticket are refused.
  test("starts with tickets of the advice service", async () => {
    const tickets: string[] = [];
    fixture.adviceClient = {
      requestTickets: (step, executors) =>
        Promise.resolve({
          tickets: new Map(executors.map((id) => [id, `${step} on ${id}`])),
          validMs: 60_000,
        }),
    };
    const { start } = fixture.executors;
    fixture.executors.start = async (target, request) => {
      tickets.push(request.ticket);
      return await start(target, request);
    };
    fixture.addExecutor("e1");
    configure();
    await accept([createStep({ count: 1 })], {
      queue: createQueue({ needsAdvice: true }),
    });
    await fixture.startOwner(1);
    await advanceTime(1_000);
    expect(tickets).toEqual([`${JOB_ID}.0.0 on e1`]);
  });

  // Guards against urgent jobs that wait for those of other queues.
  test("keeps its priority and its due time", async () => {
    const orders = createQueue({ name: "orders", priority: 5 });
    const step = createStep({
      count: 1,
      size: { cpu: 16_000, memoryMb: 500, accelerators: 0 },
      estimateMs: 60_000,
    });
    const executor = fixture.addExecutor("e1");
    configure(orders);
    await accept([step], { id: NEXT_JOB_ID, queue: orders });
    await accept([step]);
    const owner = await fixture.startOwner(1);
    await advanceTime(1_000);
    expect(executor.starts.map(({ task }) => task)).toEqual([TASK]);
    expect(owner.jobs.get(JOB_ID)!.objectiveMs).toBe(1.6 * 60_000 + 600);
  });
});

describe("a job whose queue has a newer configuration", () => {
  let fixture: OwnerFixture;
  setUpOwners((created) => fixture = created);

  // Guards against attempts that stay as they were when the job was accepted.
  test("fails after the attempts of the newest one", async () => {
    const executor = fixture.addExecutor("e1");
    fixture.accept(JOB_ID, [createStep({ count: 1 })]);
    await fixture.startOwner(1);
    fixture.configuration = createConfiguration({ maxFailures: 5 });
    for (let count = 0; count < 10; count++) {
      await advanceTime(1_000);
      executor.end(TASK, "failed");
    }
    expect(executor.starts).toHaveLength(5);
  });
});
