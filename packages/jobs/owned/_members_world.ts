/**
 * Members of the group of owners in one test, with the store and the executors
 * that they share.
 *
 * @module
 */

import {
  createMemoryExecutors,
  createMemoryStore,
  type MemoryExecutor,
  type MemoryStore,
} from "@lagoonloom/standins";
import { createAcquisition } from "../_acquisition.ts";
import {
  createAccepted,
  createConfiguration,
  createHeldFixture,
  createReport,
  PARTITION,
} from "../_record_fixtures.ts";
import type { ExecutorReport } from "../fleet.ts";
import type { MemberOptions, PlatformState } from "../member_options.ts";
import { createOwnerSilence } from "../queries/owner_silence.ts";
import type { Step } from "../submission.ts";
import { JOBS_TOPIC } from "../topics.ts";
import { createCandidacy } from "./candidacy.ts";
import {
  type CallFault,
  linkExecutors,
  linkStore,
  STORE,
} from "./_member_link.ts";
import { formatMemberName } from "./member_name.ts";
import { createOwnersGroup, type OwnersGroup } from "./_owners_group.ts";
import { joinOwners, type Ownership } from "./ownership.ts";
import {
  installProcessClocks,
  type Process,
  runOutside,
} from "./_process_clocks.ts";
import { observeRuns, type RunObserver } from "./_run_observer.ts";

const PARTITIONS = 8;
const CAPACITY = { cpu: 675, linkMbps: 1_000 };

/** Longest lease that the executors in memory grant. */
const MAX_LEASE_MS = 6_000;

/** Interval at which executors are observed. */
const TICK_MS = 20;

/** Call on a link without faults. */
export const SOUND_CALL: CallFault = { beforeMs: 2, afterMs: 2 };

/** Share by which the clock of an executor may be slow. */
export const MAX_CLOCK_LAG = 0.02;

/** One process of a member. */
export type WorldMember = {
  address: string;
  process: Process;
  leave(): Promise<void>;
};

/** Executor with the share by which its clock is slow. */
export type WorldExecutor = MemoryExecutor & { clockLag: number };

/** Store, executors and members of a test. */
export type MembersWorld = {
  store: MemoryStore;
  group: OwnersGroup;
  executors: Map<string, WorldExecutor>;
  observer: RunObserver;
  /** Events of the members, as `time member name {fields}`. */
  logged: string[];
  /** Returns whether a member has logged an event, given as `member name`. */
  hasLogged(event: string): boolean;
  /** Returns the names of the tasks that run on an executor, in order. */
  runningOn(executor: string): string[];
  addExecutor(
    id: string,
    options?: { cpu?: number; clockLag?: number; stopMs?: number },
  ): WorldExecutor;
  startMember(address: string): WorldMember;
  /** Stores a job that is accepted. */
  accept(id: string, steps: Step[]): void;
  /** Ends the processes and stops to observe. */
  close(): void;
};

/** Options of {@linkcode createMembersWorld}. */
export type MembersWorldOptions = {
  /** Whether a member is cut off from an executor, or from the store, now. */
  isCut(address: string, target: string): boolean;
  /** Draws the fault of a member's call; by default, there is none. */
  drawFault?(address: string, target: string, method: string): CallFault;
  /** Called at each tick, before the executors are observed. */
  onTick?(world: MembersWorld): void;
};

/** Creates members without processes; the test must use fake timers. */
export function createMembersWorld(
  options: MembersWorldOptions,
): MembersWorld {
  const clocks = installProcessClocks();
  const store = createMemoryStore({ partitions: PARTITIONS });
  const memory = createMemoryExecutors();
  const reports = new Map<string, ExecutorReport>();
  let incarnations = 0;

  const world: MembersWorld = {
    store,
    group: createOwnersGroup(PARTITIONS),
    executors: new Map(),
    observer: observeRuns(memory),
    logged: [],
    hasLogged: (event) =>
      world.logged.some((line) => line.includes(` ${event} `)),
    runningOn: (executor) =>
      [...world.executors.get(executor)!.running.keys()].sort(),
    addExecutor(id, { cpu = 16_000, clockLag = 0, stopMs = 0 } = {}) {
      const report = createReport(id, {
        capacity: { cpu, memoryMb: 32_768, accelerators: 0 },
      });
      reports.set(id, report);
      const executor = Object.assign(memory.add(report, { stopMs }), {
        clockLag,
      });
      world.executors.set(id, executor);
      world.observer.add(executor);
      for (const refresh of refreshes) refresh();
      return executor;
    },
    startMember(address) {
      const process = clocks.createProcess();
      return process.run(() => startMember(address, process));
    },
    accept: (id, steps) =>
      store.put({ topic: JOBS_TOPIC, partition: PARTITION }, {
        key: id,
        value: JSON.stringify(createAccepted(steps)),
      }),
    close() {
      clearInterval(ticker);
      clocks.restore();
    },
  };
  const refreshes = new Set<() => void>();

  const tick = () => {
    for (const executor of world.executors.values()) {
      executor.clockOffsetMs -= executor.clockLag * TICK_MS;
    }
    options.onTick?.(world);
    world.observer.check();
  };
  const ticker = setInterval(tick, TICK_MS);

  const log = (address: string, name: string, fields: unknown) => {
    const ms = Math.round(runOutside(() => performance.now()));
    world.logged.push(`${ms} ${address} ${name} ${JSON.stringify(fields)}`);
  };

  const startMember = (address: string, process: Process): WorldMember => {
    const owners: Parameters<typeof createAcquisition>[1]["owners"] = new Map();
    let storeAnsweredAtMs = performance.now();
    const link = {
      process,
      isCut: (target: string) => options.isCut(address, target),
      drawFault: (target: string, method: string) =>
        options.drawFault?.(address, target, method) ?? SOUND_CALL,
      onCarriedOut(target: string) {
        if (target !== STORE) world.observer.check();
      },
    };
    const linked = linkStore(store, world.group, link);
    const memberStore: typeof linked = {
      ...linked,
      async join(request) {
        const outcome = await linked.join(request);
        if (outcome.type === "joined") storeAnsweredAtMs = performance.now();
        return outcome;
      },
    };
    const platform: PlatformState = {
      configuration: createConfiguration,
      held: createHeldFixture(createConfiguration),
      readConfiguration: () => Promise.resolve(),
      executors: () => reports,
      hasExecutorList: () => true,
      executorsReadAtMs: () => storeAnsweredAtMs,
      waves: () => [],
      readAtMs: () => storeAnsweredAtMs,
      followExecutors: () => undefined,
    };
    const member: MemberOptions = {
      name: address,
      peer: { host: address, port: 0 },
      capacity: CAPACITY,
      store: memberStore,
      executorClient: linkExecutors(memory, link),
      machineClient: {
        list: () => Promise.resolve(undefined),
        move: () => Promise.resolve({ type: "refused", reason: "busy" }),
        upkeep: () => Promise.resolve({ type: "refused", reason: "busy" }),
        announce: () => Promise.resolve(true),
      },
      adviceClient: undefined,
      events: { log: (name, fields) => log(address, name, fields) },
      partitionCount: PARTITIONS,
      maxLeaseMs: MAX_LEASE_MS,
      endedJobRetentionMs: 120_000,
      followPlatform: () => platform,
    };
    const acquire = createAcquisition(member, {
      owners,
      platform,
      store: memberStore,
      access: {
        localOwner: (partition) => owners.get(partition),
        noteFullServices: () => undefined,
        silence: createOwnerSilence(member.events),
        storedStates: { find: () => Promise.resolve(undefined) },
        directory: {
          find: () => Promise.resolve(undefined),
          members: () => [],
          readMembers: () => Promise.resolve([]),
          invalidate: () => undefined,
        },
        client: () => {
          throw new Error("members make no calls to each other here");
        },
        ownAddress: address,
      },
      layout: () => new Map([["quoting", [PARTITION]]]),
      requestLayout: () => undefined,
      ownership: () => ownership,
    });
    const ownership: Ownership = joinOwners({
      store: memberStore,
      events: member.events,
      createMemberName: () =>
        formatMemberName(
          { address, capacity: CAPACITY },
          String(++incarnations),
        ),
      candidacy: createCandidacy({
        capacity: CAPACITY,
        usedPartitionCount: () => 1,
        readMembers: () => Promise.resolve([]),
      }),
      isUsed: (partition) => partition === PARTITION,
      acquire,
    });
    refreshes.add(() =>
      process.run(() => {
        for (const owner of owners.values()) owner.refresh();
      })
    );
    return {
      address,
      process,
      leave: () => process.run(() => ownership.leave()),
    };
  };

  return world;
}
