/**
 * Fixture of the tests of queues that configurations send to another service:
 * members on a platform in memory, which the store turns away one by one.
 *
 * @module
 */

import {
  createMemoryExecutors,
  createMemoryStore,
  type MemoryExecutor,
  type MemoryStore,
} from "@lagoonloom/standins";
import {
  createAccepted,
  createConfiguration,
  createHeldFixture,
  createReport,
  createStep,
} from "./_record_fixtures.ts";
import { sleep } from "./_sleep.ts";
import type { RecordOutcome } from "./accepted/accept_job.ts";
import { QUEUES_PARTITION } from "./accepted/queue_services.ts";
import type { Configuration, ExecutorReport, Queue } from "./fleet.ts";
import { type Member, startMember } from "./member.ts";
import { parseMemberName } from "./owned/member_name.ts";
import type { Store } from "./ports.ts";
import type { QueryResult } from "./queries/query_result.ts";
import { REACH_PARTITION } from "./reachability/failure_report.ts";
import type { JobState } from "./submission.ts";
import { JOBS_TOPIC, OWNERS_GROUP } from "./topics.ts";

/** Number of partitions, of which the services use all but one. */
export const LAYOUTS = [
  { kind: "a partition for each service", partitions: 8 },
  { kind: "a partition that the services share", partitions: 2 },
];

/** Timeout of a call to a member. */
export const TIMEOUT_MS = 2_000;

/** Timeout of a wait, far beyond the time that it usually takes. */
export const WAIT_TIMEOUT_MS = 20_000;

/** Longest interval of the timers of an owner, and some more. */
export const LONGEST_TIMER_MS = 5_500;

/** Pause before the store turns a member away again. */
const REFUSAL_MS = 20;

const SERVICES = ["quoting", "orders"].map((name) => ({
  name,
  enforcesCapacity: true,
  isStandby: false,
}));

/** Job of one step of two tasks. */
export const SUBMISSION = createAccepted([createStep()]).submission;

/** Creates the queue of the tests, sent to a service. */
export function createQueue(service: string): Queue {
  return createConfiguration({ service }).queues[0]!;
}

/** Waits until a condition holds; fails after a time. */
export async function waitUntil(isDone: () => boolean): Promise<void> {
  const endMs = performance.now() + WAIT_TIMEOUT_MS;
  while (!isDone()) {
    if (performance.now() > endMs) throw new Error("The wait took too long.");
    await sleep(20);
  }
}

/** Member of the fixture, which the store serves or turns away. */
export type WorldMember = Member & {
  /** Whether the store answers each of its calls with 503. */
  isTurnedAway: boolean;
};

/** Members on a platform in memory with two services and one queue. */
export type ReroutedWorld = {
  store: MemoryStore;
  members: WorldMember[];
  reports: Map<string, ExecutorReport>;
  quoting: MemoryExecutor;
  orders: MemoryExecutor;
  /**
   * Called before each append; an outcome that it returns replaces the append.
   */
  onAppend: (...args: Parameters<Store["append"]>) => undefined | "lost";
  /** Configures queues, for all members that are not turned away. */
  configure(...queues: Queue[]): void;
  /** Starts a member; one that is turned away never becomes ready. */
  start(options?: { isTurnedAway?: boolean }): Promise<WorldMember>;
  /** Finds the member that owns the partition in which a job is stored. */
  findHomeOwner(id: string): Promise<WorldMember>;
  accept(member: Member, id: string, queue: Queue): Promise<RecordOutcome>;
  cancel(member: Member, id: string, queue: Queue): Promise<RecordOutcome>;
  /** Asks for the state of a job until an owner answers. */
  readState(
    member: Member,
    id: string,
    queue: Queue,
  ): Promise<QueryResult<JobState>>;
  close(): Promise<void>;
};

/** Creates a platform with two members, and the queue sent to `quoting`. */
export async function createReroutedWorld(
  { partitions }: { partitions: number },
): Promise<ReroutedWorld> {
  const store = createMemoryStore({ partitions });
  const executors = createMemoryExecutors();
  const reports = new Map<string, ExecutorReport>();
  const changeListeners: (() => void)[] = [];
  /** Members by their addresses for each other. */
  const addresses = new Map<string, WorldMember>();
  let configuration = createConfiguration();

  const readOwners = async () => {
    const owners = await store.owners(OWNERS_GROUP);
    return new Map(
      [...owners!].map(([partition, name]) =>
        [partition, parseMemberName(name)!.address] as const
      ),
    );
  };

  /** Learns the address of a member, which no other one has. */
  const learnAddress = async (member: WorldMember) => {
    let unknown: string | undefined;
    for (let tries = 0; tries < 50 && unknown === undefined; tries++) {
      await sleep(20);
      unknown = [...(await readOwners()).values()]
        .find((address) => !addresses.has(address));
    }
    if (unknown !== undefined) addresses.set(unknown, member);
  };

  const addExecutor = (service: string) => {
    const report = createReport(`e-${service}`, { service });
    reports.set(report.id, report);
    return executors.add(report);
  };

  const createMemberStore = (path: { isTurnedAway: boolean }): Store => {
    const call = async <Outcome>(
      refusal: Outcome,
      run: () => Promise<Outcome>,
    ): Promise<Outcome> => {
      const outcome = path.isTurnedAway ? refusal : await run();
      if (!path.isTurnedAway) return outcome;
      await sleep(REFUSAL_MS);
      return refusal;
    };
    const failed = { type: "failed" as const, reason: "status 503" };
    const refused = {
      type: "refused" as const,
      reason: "status 503",
      retryAfterMs: 500,
    };
    return {
      async append(partition, options) {
        if (path.isTurnedAway) return await call(refused, async () => refused);
        if (world.onAppend(partition, options) === "lost") {
          return { type: "unknown", reason: "no answer" };
        }
        return await store.append(partition, options);
      },
      read: (partition, options) =>
        call<Awaited<ReturnType<Store["read"]>>>(
          failed,
          () => store.read(partition, options),
        ),
      readNewest: (partition) =>
        call<Awaited<ReturnType<Store["readNewest"]>>>(
          failed,
          () => store.readNewest(partition),
        ),
      join: (options) =>
        call<Awaited<ReturnType<Store["join"]>>>(
          failed,
          () => store.join(options),
        ),
      leave: (options) => store.leave(options),
      owners: (group) =>
        call<Awaited<ReturnType<Store["owners"]>>>(
          undefined,
          () => store.owners(group),
        ),
    };
  };

  const world: ReroutedWorld = {
    store,
    members: [],
    reports,
    quoting: addExecutor("quoting"),
    orders: addExecutor("orders"),
    onAppend: () => undefined,
    configure(...queues) {
      configuration = { ...createConfiguration(), queues, services: SERVICES };
      for (const notify of changeListeners) notify();
    },
    async start({ isTurnedAway = false } = {}) {
      const path = { isTurnedAway };
      let held: Configuration = configuration;
      const newest = () => {
        if (!path.isTurnedAway) held = configuration;
        return held;
      };
      const member = await startMember({
        name: `m${world.members.length}`,
        peer: { host: "127.0.0.1", port: 0 },
        capacity: { cpu: 675, linkMbps: 1_000 },
        store: createMemberStore(path),
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
            configuration: newest,
            held: createHeldFixture(newest),
            readConfiguration: () => Promise.resolve(),
            executors: () => reports,
            hasExecutorList: () => true,
            executorsReadAtMs: () => performance.now(),
            waves: () => [],
            readAtMs: () => path.isTurnedAway ? -Infinity : performance.now(),
            followExecutors: () => undefined,
          };
        },
      });
      const worldMember = Object.assign(path, member);
      world.members.push(worldMember);
      if (!isTurnedAway) {
        await waitUntil(() => member.isReady());
        await learnAddress(worldMember);
      }
      return worldMember;
    },
    async findHomeOwner(id) {
      const owners = await readOwners();
      const home = [...owners.keys()].find((partition) =>
        store.readNewestValues({ topic: JOBS_TOPIC, partition }).has(id)
      );
      return addresses.get(owners.get(home!)!)!;
    },
    accept: (member, id, queue) =>
      member.accept(id, {
        submission: SUBMISSION,
        queue,
        timeoutMs: TIMEOUT_MS,
      }) as Promise<RecordOutcome>,
    cancel: (member, id, queue) =>
      member.cancel(id, { queue, timeoutMs: TIMEOUT_MS }),
    async readState(member, id, queue) {
      let result: QueryResult<JobState> = { type: "unavailable" };
      for (let tries = 0; tries < 5 && result.type === "unavailable"; tries++) {
        result = await member.getJobState(id, { queue, timeoutMs: TIMEOUT_MS });
      }
      return result;
    },
    async close() {
      for (const member of world.members) {
        await member.leave();
        await member.close();
        // The HTTP/2 client throws if it is closed while it handles the end of
        // its connection, of which the other members learn now.
        await sleep(50);
      }
      // Ends the reads that wait for a record.
      store.put(QUEUES_PARTITION, { key: "end", value: undefined });
      store.put(REACH_PARTITION, { key: "end", value: undefined });
    },
  };
  world.configure(createQueue("quoting"));
  await world.start();
  await world.start();
  return world;
}
