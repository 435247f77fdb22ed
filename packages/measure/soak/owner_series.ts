/**
 * Owners of one partition that replace each other in a soak test.
 *
 * @module
 */

import {
  createPartitionOwner,
  type ExecutorClient,
  type ExecutorReport,
  type Machine,
  type OwnerView,
  type PartitionOwner,
  type ReservationMode,
  type Store,
} from "@lagoonloom/jobs";
import type { Random } from "../random.ts";

/** Interval at which a member reads the platform's list. */
const LIST_INTERVAL_MS = 250;

/** Time until the list of machines is answered. */
const MACHINE_LIST_MS = 20;

/** Time for which ended jobs are kept, longer than a run of the soak test. */
const ENDED_JOB_RETENTION_MS = 600_000;

/** Longest time for which an owner stores its handover. */
const RELEASE_TIMEOUT_MS = 500;

/** Faults of the path from an owner to the store. */
export type StorePath = {
  maxDelayMs: number;
  /** Share of the calls whose answer is lost. */
  lostAnswers: number;
  /** Whether no call reaches the store. */
  isCut: boolean;
};

/** Owner and what its process knows of the platform. */
export type SoakOwner = {
  owner: PartitionOwner;
  epoch: number;
  /** Monotonic time of the last confirmation; `now` if it goes on. */
  confirmedAtMs: "now" | number;
  isListStalled: boolean;
  storePath: StorePath;
  /** Executors that the member does not reach. */
  cutExecutors: Set<string>;
  /** Why the owner ended; undefined while it goes on. */
  endReason: string | undefined;
};

/** Series of owners of one partition. */
export type OwnerSeries = {
  /** The newest owner; undefined while there is none. */
  current: SoakOwner | undefined;
  /** Starts the owner of the next epoch. */
  start(): SoakOwner;
  /** Ends an owner as the end of its process does. */
  kill(owner: SoakOwner): void;
  /** Ends an owner after it has stored its handover. */
  release(owner: SoakOwner): Promise<void>;
  close(): void;
};

/** Options of {@linkcode createOwnerSeries}. */
export type OwnerSeriesOptions = {
  partition: number;
  store: Store;
  random: Random;
  /** Duration of an executor's lease. */
  leaseMs: number;
  /** Longest lease that the platform grants. */
  maxLeaseMs: number;
  /** Where owners reserve room; nowhere if undefined. */
  reservesRoom?: ReservationMode | undefined;
  view: Omit<OwnerView, "executors" | "hasExecutorList" | "executorsReadAtMs">;
  listExecutors(): ReadonlyMap<string, ExecutorReport>;
  listMachines(): Machine[];
  createClient(owner: { isReached(id: string): boolean }): ExecutorClient;
  log(text: string): void;
};

/** Creates a series without owners. */
export function createOwnerSeries(options: OwnerSeriesOptions): OwnerSeries {
  const all: SoakOwner[] = [];
  let epoch = 0;

  const start = (): SoakOwner => {
    epoch++;
    const own: Omit<SoakOwner, "owner"> = {
      epoch,
      confirmedAtMs: "now",
      isListStalled: false,
      storePath: { maxDelayMs: 12, lostAnswers: 0, isCut: false },
      cutExecutors: new Set(),
      endReason: undefined,
    };
    let reports = options.listExecutors();
    let readAtMs = performance.now();
    const member: SoakOwner = Object.assign(own, {
      owner: createPartitionOwner({
        partition: options.partition,
        epoch,
        store: createStorePath(options, own.storePath),
        executorClient: options.createClient({
          isReached: (id) => !own.cutExecutors.has(id),
        }),
        adviceClient: undefined,
        view: {
          ...options.view,
          executors: () => reports,
          hasExecutorList: () => true,
          executorsReadAtMs: () => readAtMs,
        },
        listMachines: async () => {
          await sleep(MACHINE_LIST_MS);
          return own.storePath.isCut ? undefined : options.listMachines();
        },
        leaseMs: options.leaseMs,
        maxLeaseMs: options.maxLeaseMs,
        reservesRoom: options.reservesRoom,
        confirmedAtMs: () => confirmedAtMs(own),
        undisputedAtMs: () => confirmedAtMs(own),
        endedJobRetentionMs: ENDED_JOB_RETENTION_MS,
        queryJob: () => Promise.resolve({ type: "unavailable" }),
        events: {
          log: (name, fields) =>
            options.log(`owner ${own.epoch}: ${name} ${format(fields)}`),
        },
        onLoadTimeout: () => options.log(`owner ${own.epoch}: load timeout`),
        onLost: (reason) => own.endReason = `lost by ${reason}`,
      }),
    });
    const timer = setInterval(() => {
      if (own.endReason !== undefined) return clearInterval(timer);
      if (own.isListStalled) return;
      reports = options.listExecutors();
      readAtMs = performance.now();
      member.owner.refresh();
    }, LIST_INTERVAL_MS);
    all.push(member);
    series.current = member;
    options.log(`start of owner ${epoch}`);
    return member;
  };

  const kill = (member: SoakOwner) => {
    member.endReason ??= "killed";
    member.owner.close();
  };

  const series: OwnerSeries = {
    current: undefined,
    start,
    kill,
    async release(member) {
      await member.owner.release(RELEASE_TIMEOUT_MS);
      member.endReason ??= "released";
    },
    close() {
      for (const member of all) kill(member);
    },
  };
  return series;
}

function confirmedAtMs(own: Pick<SoakOwner, "confirmedAtMs">): number {
  return own.confirmedAtMs === "now" ? performance.now() : own.confirmedAtMs;
}

function sleep(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}

function format(fields: object): string {
  return Object.entries(fields).map(([name, value]) => `${name}=${value}`)
    .join(" ");
}

/** Creates a store whose calls meet the faults of a path. */
function createStorePath(
  { store, random }: { store: Store; random: Random },
  path: StorePath,
): Store {
  const failed = { type: "failed" as const, reason: "no answer" };
  const delay = () => sleep(random() * path.maxDelayMs);
  return {
    ...store,
    async append(partition, request) {
      const unknown = { type: "unknown" as const, reason: "no answer" };
      if (path.isCut) {
        await sleep(request.timeoutMs);
        return unknown;
      }
      await delay();
      const outcome = await store.append(partition, request);
      if (path.isCut || random() < path.lostAnswers) {
        await sleep(request.timeoutMs);
        return unknown;
      }
      await delay();
      return outcome;
    },
    async read(partition, request) {
      if (!path.isCut) {
        await delay();
        const outcome = await store.read(partition, request);
        if (!path.isCut && random() >= path.lostAnswers) return outcome;
      }
      await sleep(800);
      return failed;
    },
    async readNewest(partition) {
      if (!path.isCut) {
        await delay();
        const outcome = await store.readNewest(partition);
        if (!path.isCut && random() >= path.lostAnswers) return outcome;
      }
      await sleep(800);
      return failed;
    },
  };
}
