import {
  afterAll,
  afterEach,
  beforeEach,
  describe,
  expect,
  test,
} from "@jest/globals";
import { JOB_ID, NEXT_JOB_ID } from "./_record_fixtures.ts";
import {
  createQueue,
  createReroutedWorld,
  LAYOUTS,
  LONGEST_TIMER_MS,
  type ReroutedWorld,
  TIMEOUT_MS,
  WAIT_TIMEOUT_MS,
  waitUntil,
} from "./_rerouted_world.ts";
import { sleep } from "./_sleep.ts";
import type { Queue } from "./fleet.ts";
import type { Member } from "./member.ts";

describe.each(LAYOUTS)("a queue sent elsewhere, $kind", ({ partitions }) => {
  let world: ReroutedWorld;

  beforeEach(async () => {
    world = await createReroutedWorld({ partitions });
  }, WAIT_TIMEOUT_MS);

  afterEach(() => world.close());

  // A closed owner ends its timers with their next tick.
  afterAll(() => sleep(LONGEST_TIMER_MS), WAIT_TIMEOUT_MS);

  const accept = async (member: Member, id: string, queue: Queue) => {
    const outcome = await world.accept(member, id, queue);
    expect(outcome.type).toBe("stored");
  };

  /** Has a job running, then sends its queue to another service. */
  const runAndReroute = async (): Promise<Queue> => {
    await accept(world.members[0]!, JOB_ID, createQueue("quoting"));
    await waitUntil(() => world.quoting.running.size === 2);
    world.configure();
    const rerouted = createQueue("orders");
    world.configure(rerouted);
    return rerouted;
  };

  // Guards against 410 for a job that runs (LOST): the job was looked for among
  // those of the service that its queue has now.
  test("still shows the jobs that were accepted before", async () => {
    const queue = await runAndReroute();
    for (const member of [...world.members, await world.start()]) {
      expect(await world.readState(member, JOB_ID, queue))
        .toEqual({ type: "known", value: "running" });
      expect(await world.readState(member, NEXT_JOB_ID, queue))
        .toEqual({ type: "missing" });
    }
  }, 2 * WAIT_TIMEOUT_MS);

  // Guards against a second run of each task (TWICE): a repeated submission was
  // stored as a new job of the other service.
  test("runs a job once whose submission is repeated", async () => {
    const queue = await runAndReroute();
    for (const member of world.members) await accept(member, JOB_ID, queue);
    await accept(world.members[1]!, NEXT_JOB_ID, queue);
    await waitUntil(() => world.orders.running.has(`${NEXT_JOB_ID}.0.0.1`));
    await sleep(200);
    const started = world.orders.starts.map(({ task }) => task);
    expect(started.filter((task) => task.startsWith(JOB_ID))).toEqual([]);
    expect(world.quoting.running.size).toBe(2);
  }, 2 * WAIT_TIMEOUT_MS);

  // Guards against a job that goes on at the other service under the next
  // owner (TWICE), which reads its newest record.
  test(
    "keeps the service of a job whose submission is repeated",
    async () => {
      const queue = await runAndReroute();
      const earlier = [...world.members];
      for (const member of earlier) await accept(member, JOB_ID, queue);
      const next = await world.start();
      for (const member of earlier) await member.leave();
      expect(await world.readState(next, JOB_ID, queue))
        .toEqual({ type: "known", value: "running" });
      // The next owner runs the tasks again that their executor ends.
      for (const task of world.quoting.running.keys()) {
        world.quoting.end(task, "failed");
      }
      await waitUntil(() => world.quoting.starts.length === 4);
      expect(world.orders.starts).toEqual([]);
    },
    2 * WAIT_TIMEOUT_MS,
  );

  // Guards against tasks that run on after their job was cancelled (UNASKED):
  // the cancellation was stored among those of the other service only.
  test("cancels a job that was accepted before", async () => {
    const queue = await runAndReroute();
    const outcome = await world.members[1]!.cancel(JOB_ID, {
      queue,
      timeoutMs: TIMEOUT_MS,
    });
    expect(outcome.type).toBe("stored");
    await waitUntil(() => world.quoting.running.size === 0);
  }, 2 * WAIT_TIMEOUT_MS);

  // Guards against a number of waiting jobs that leaves out those which were
  // accepted before (MIXED).
  test("counts the jobs that wait at both services", async () => {
    world.reports.clear();
    await accept(world.members[0]!, JOB_ID, createQueue("quoting"));
    const queue = createQueue("orders");
    world.configure(queue);
    await accept(world.members[1]!, NEXT_JOB_ID, queue);
    let pending = 0;
    const count = async () => {
      const result = await world.members[0]!.countPending(queue, TIMEOUT_MS);
      if (result.type === "known") pending = result.value;
    };
    for (let tries = 0; tries < 50 && pending < 2; tries++) {
      await count();
      await sleep(20);
    }
    expect(pending).toBe(2);
  }, 2 * WAIT_TIMEOUT_MS);
});
