import {
  afterAll,
  afterEach,
  beforeEach,
  describe,
  expect,
  test,
} from "@jest/globals";
import {
  createMemoryExecutors,
  createMemoryStore,
  type MemoryExecutor,
  type MemoryExecutors,
  type MemoryStore,
} from "@lagoonloom/standins";
import {
  createAccepted,
  createConfiguration,
  createHeldFixture,
  createReport,
  createStep,
  JOB_ID,
  NEXT_JOB_ID,
} from "./_record_fixtures.ts";
import { sleep } from "./_sleep.ts";
import { QUEUES_PARTITION } from "./accepted/queue_services.ts";
import type { Configuration, ExecutorReport, Queue } from "./fleet.ts";
import { type Member, startMember } from "./member.ts";
import { decodeAccepted } from "./owned/load_partition.ts";
import type { QueryResult } from "./queries/query_result.ts";
import type { JobState } from "./submission.ts";
import { JOBS_TOPIC } from "./topics.ts";

/** Number of partitions, of which the services use all but one. */
const LAYOUTS = [
  { kind: "a partition for each service", partitions: 8 },
  { kind: "a partition that the services share", partitions: 2 },
];
const TIMEOUT_MS = 2_000;

/** Timeout of a wait, far beyond the time that it usually takes. */
const WAIT_TIMEOUT_MS = 20_000;

/** Longest interval of the timers of an owner, and some more. */
const LONGEST_TIMER_MS = 5_500;

const SERVICES = ["quoting", "orders"].map((name) => ({
  name,
  enforcesCapacity: true,
  isStandby: false,
}));

const SUBMISSION = createAccepted([createStep()]).submission;

/** Creates the queue of the tests, sent to a service. */
function createQueue(service: string): Queue {
  return createConfiguration({ service }).queues[0]!;
}

async function waitUntil(isDone: () => boolean): Promise<void> {
  const endMs = performance.now() + WAIT_TIMEOUT_MS;
  while (!isDone()) {
    if (performance.now() > endMs) throw new Error("The wait took too long.");
    await sleep(20);
  }
}

describe.each(LAYOUTS)("a queue sent elsewhere, $kind", ({ partitions }) => {
  let store: MemoryStore;
  let executors: MemoryExecutors;
  let reports: Map<string, ExecutorReport>;
  let configuration: Configuration;
  let members: Member[];
  let changeListeners: (() => void)[];
  let quoting: MemoryExecutor;
  let orders: MemoryExecutor;

  beforeEach(async () => {
    store = createMemoryStore({ partitions });
    executors = createMemoryExecutors();
    reports = new Map();
    members = [];
    changeListeners = [];
    quoting = addExecutor("quoting");
    orders = addExecutor("orders");
    configure(createQueue("quoting"));
    await start();
    await start();
  }, WAIT_TIMEOUT_MS);

  afterEach(async () => {
    for (const member of members) {
      await member.leave();
      await member.close();
      // The HTTP/2 client throws if it is closed while it handles the end of
      // its connection, of which the other members learn now.
      await sleep(50);
    }
    // Ends the reads that wait for a record.
    store.put(QUEUES_PARTITION, { key: "end", value: undefined });
  });

  // A closed owner ends its timers with their next tick.
  afterAll(() => sleep(LONGEST_TIMER_MS), WAIT_TIMEOUT_MS);

  function addExecutor(service: string): MemoryExecutor {
    const report = createReport(`e-${service}`, { service });
    reports.set(report.id, report);
    return executors.add(report);
  }

  function configure(...queues: Queue[]): void {
    configuration = { ...createConfiguration(), queues, services: SERVICES };
    for (const notify of changeListeners) notify();
  }

  async function start(): Promise<Member> {
    const member = await startMember({
      name: `m${members.length}`,
      peer: { host: "127.0.0.1", port: 0 },
      capacity: { cpu: 675, linkMbps: 1_000 },
      store,
      executorClient: executors,
      machineClient: {
        list: () => Promise.resolve(undefined),
        move: () => Promise.resolve({ type: "unknown", reason: "none" }),
        upkeep: () => Promise.resolve({ type: "unknown", reason: "none" }),
        announce: () => Promise.resolve(false),
      },
      adviceClient: undefined,
      events: { log: () => undefined },
      partitionCount: partitions,
      maxLeaseMs: 6_000,
      endedJobRetentionMs: 120_000,
      followPlatform(onChange) {
        changeListeners.push(onChange);
        return {
          configuration: () => configuration,
          held: createHeldFixture(() => configuration),
          readConfiguration: () => Promise.resolve(),
          executors: () => reports,
          hasExecutorList: () => true,
          executorsReadAtMs: () => performance.now(),
          waves: () => [],
          readAtMs: () => performance.now(),
          followExecutors: () => undefined,
        };
      },
    });
    members.push(member);
    await waitUntil(() => member.isReady());
    return member;
  }

  const accept = async (member: Member, id: string, queue: Queue) => {
    const outcome = await member.accept(id, {
      submission: SUBMISSION,
      queue,
      timeoutMs: TIMEOUT_MS,
    });
    expect(outcome.type).toBe("stored");
  };

  /** Asks for the state of a job until an owner answers. */
  const readState = async (member: Member, id: string, queue: Queue) => {
    let result: QueryResult<JobState> = { type: "unavailable" };
    for (let tries = 0; tries < 5 && result.type === "unavailable"; tries++) {
      result = await member.getJobState(id, { queue, timeoutMs: TIMEOUT_MS });
    }
    return result;
  };

  /** Has a job running, then sends its queue to another service. */
  const runAndReroute = async (): Promise<Queue> => {
    await accept(members[0]!, JOB_ID, createQueue("quoting"));
    await waitUntil(() => quoting.running.size === 2);
    configure();
    const rerouted = createQueue("orders");
    configure(rerouted);
    return rerouted;
  };

  // Guards against 410 for a job that runs (LOST): the job was looked for among
  // those of the service that its queue has now.
  test("still shows the jobs that were accepted before", async () => {
    const queue = await runAndReroute();
    for (const member of [...members, await start()]) {
      expect(await readState(member, JOB_ID, queue))
        .toEqual({ type: "known", value: "running" });
      expect(await readState(member, NEXT_JOB_ID, queue))
        .toEqual({ type: "missing" });
    }
  }, 2 * WAIT_TIMEOUT_MS);

  // Guards against a second run of each task (TWICE): a repeated submission was
  // stored as a new job of the other service.
  test("runs a job once whose submission is repeated", async () => {
    const queue = await runAndReroute();
    for (const member of members) await accept(member, JOB_ID, queue);
    await accept(members[1]!, NEXT_JOB_ID, queue);
    await waitUntil(() => orders.running.has(`${NEXT_JOB_ID}.0.0.1`));
    await sleep(200);
    const started = orders.starts.map(({ task }) => task);
    expect(started.filter((task) => task.startsWith(JOB_ID))).toEqual([]);
    expect(quoting.running.size).toBe(2);
  }, 2 * WAIT_TIMEOUT_MS);

  // Guards against a job that goes on at the other service under the next
  // owner, which reads its newest record.
  test(
    "keeps the service of a job whose submission is repeated",
    async () => {
      const queue = await runAndReroute();
      for (const member of members) await accept(member, JOB_ID, queue);
      const services = Array.from(
        { length: partitions },
        (_, partition) =>
          store.readNewestValues({ topic: JOBS_TOPIC, partition }).get(
            JOB_ID,
          ),
      )
        .filter((value) => value !== undefined)
        .map((value) => decodeAccepted(value)?.service);
      expect(services).toEqual(["quoting"]);
    },
    2 * WAIT_TIMEOUT_MS,
  );

  // Guards against tasks that run on after their job was cancelled (UNASKED):
  // the cancellation was stored among those of the other service only.
  test("cancels a job that was accepted before", async () => {
    const queue = await runAndReroute();
    const outcome = await members[1]!.cancel(JOB_ID, {
      queue,
      timeoutMs: TIMEOUT_MS,
    });
    expect(outcome.type).toBe("stored");
    await waitUntil(() => quoting.running.size === 0);
  }, 2 * WAIT_TIMEOUT_MS);

  // Guards against a number of waiting jobs that leaves out those which were
  // accepted before (MIXED).
  test("counts the jobs that wait at both services", async () => {
    reports.clear();
    await accept(members[0]!, JOB_ID, createQueue("quoting"));
    const queue = createQueue("orders");
    configure(queue);
    await accept(members[1]!, NEXT_JOB_ID, queue);
    let pending = 0;
    const count = async () => {
      const result = await members[0]!.countPending(queue, TIMEOUT_MS);
      if (result.type === "known") pending = result.value;
    };
    for (let tries = 0; tries < 50 && pending < 2; tries++) {
      await count();
      await sleep(20);
    }
    expect(pending).toBe(2);
  }, 2 * WAIT_TIMEOUT_MS);
});
